// Changes of settings in service: the ids of workloads, the decision module, and a dispatcher's reloads.
#include "helpers.hpp"
#include "settings/workload_registry.hpp"

using namespace gannethold;
using settings::WorkloadRegistry;

namespace {

using NamesAndEffects = std::vector<std::pair<std::string, std::string>>;  // name, effect

SettingsMap settings_of(const NamesAndEffects& rows, const std::string& attempts = "3") {
    SettingsMap all{{"workloads.count", std::to_string(rows.size())},
                    {"caps.max_assignments", attempts},
                    {"caps.cancelling", "true"},
                    {"rules.fall_multiple", "400"},
                    {"reports.names", "free_slots,waiting,held"},
                    {"trade.class_stretch", "1.5,2.5"}};
    for (std::size_t i = 0; i < rows.size(); ++i) {
        const std::string at = "workloads." + std::to_string(i) + ".";
        all[at + "name"] = rows[i].first, all[at + "effect"] = rows[i].second;
        all[at + "due_time_us"] = "1000000", all[at + "expiry_us"] = "5000000";
    }
    return all;
}
const auto none_open = [](WorkloadId) { return false; };
constexpr Micros kSecond = 1'000'000;

}  // namespace

TEST_CASE("a workload keeps its id wherever it stands in the file; with other settings it gets another id") {
    WorkloadRegistry registry(settings_of({{"a", "idempotent"}, {"b", "side-effecting"}}), 2);
    // The list of stretches follows the order in the file, so it changes along with it.
    SettingsMap moved = settings_of({{"b", "side-effecting"}, {"a", "idempotent"}, {"c", "idempotent"}});
    moved["trade.class_stretch"] = "2.5,1.5,1.5";
    auto change = registry.update(kSecond, moved, none_open);
    CHECK(registry.active_workloads() == std::vector{WorkloadId{1}, WorkloadId{0}, WorkloadId{2}});
    CHECK(change.added == std::vector<std::string>{"c"});
    CHECK((change.dropped.empty() && change.changed.empty()));
    moved["workloads.1.effect"] = "side-effecting";
    change = registry.update(2 * kSecond, moved, none_open);
    CHECK(registry.active_workloads() == std::vector{WorkloadId{1}, WorkloadId{3}, WorkloadId{2}});
    CHECK(change.changed == std::vector<std::string>{"a"});
    CHECK(change.learn_from.at(3) == WorkloadId{0});
    CHECK(registry.settings().at("workloads.0.effect") == "idempotent");
    CHECK(registry.settings().at("workloads.3.effect") == "side-effecting");
    CHECK(registry.settings().at("workloads.3.aim_stretch") == "1.5");
    CHECK(registry.name_of(WorkloadId{3}) == "a");
}

TEST_CASE("a workload that returns unchanged gets its old id, a changed one gets another") {
    WorkloadRegistry registry(settings_of({{"a", "idempotent"}, {"b", "idempotent"}}), 2);
    const auto open = [](WorkloadId place) { return place == WorkloadId{1}; };
    CHECK(registry.update(0, settings_of({{"a", "idempotent"}}), open).dropped ==
          std::vector<std::string>{"b"});
    registry.update(kSecond, settings_of({{"a", "idempotent"}, {"b", "idempotent"}}), open);
    CHECK(registry.active_workloads().at(1) == WorkloadId{1});
    // The id of a workload that has open tasks, or had them just now, is not reused.
    registry.update(2 * kSecond, settings_of({{"a", "idempotent"}, {"b", "side-effecting"}}), open);
    CHECK(registry.active_workloads().at(1) == WorkloadId{2});
    registry.update(100 * kSecond, settings_of({{"a", "idempotent"}, {"b", "fingerprinted"}}), open);
    CHECK(registry.active_workloads().at(1) == WorkloadId{3});
    registry.update(101 * kSecond, settings_of({{"a", "side-effecting"}, {"b", "fingerprinted"}}), none_open);
    CHECK(registry.active_workloads() == std::vector{WorkloadId{1}, WorkloadId{3}});  // retired at 2 s
}

TEST_CASE("endless changes do not exhaust the ids, and an update beyond the limit changes nothing") {
    WorkloadRegistry registry(settings_of({{"a", "idempotent"}}), 1);
    for (int i = 1; i <= 1'000; ++i) {
        SettingsMap next = settings_of({{"a", "idempotent"}});
        next["workloads.0.due_time_us"] = std::to_string(1'000'000 + i);
        registry.update(i * 11 * kSecond, next, none_open);
    }
    CHECK(registry.settings().at("workloads.count") == "2");
    const auto all_open = [](WorkloadId) { return true; };
    SettingsMap next;
    bool refused = false;
    for (int i = 0; i < 300 && !refused; ++i) {
        next = settings_of({{"a", "idempotent"}});
        next["workloads.0.importance"] = std::to_string(i + 2);
        const SettingsMap before = registry.settings();
        try {
            registry.update(20'000 * kSecond, next, all_open);
        } catch (const std::runtime_error&) {
            refused = true;
            CHECK(registry.settings() == before);
        }
    }
    CHECK(refused);
}

TEST_CASE("tubes keep their ids after the configuration's workloads") {
    WorkloadRegistry registry(settings_of({{"a", "idempotent"}, {"tube", "side-effecting"}}), 1);
    registry.update(0, settings_of({{"a", "side-effecting"}, {"b", "idempotent"}}), none_open);
    CHECK(registry.active_workloads() == std::vector{WorkloadId{2}, WorkloadId{3}});
    CHECK(registry.settings().at("workloads.1.name") == "tube");
}

TEST_CASE("the module: an open task keeps the effect and the number of assignments under which it arrived") {
    WorkloadRegistry registry(settings_of({{"a", "idempotent"}}), 1);
    FakeHost host(registry.settings());
    host.fleet(4, 4);
    const TaskId before = host.ask();
    const auto change = registry.update(host.now, settings_of({{"a", "side-effecting"}}, "1"), none_open);
    host.tell(SettingsChanged{registry.settings(), change.learn_from});
    const unsigned id = static_cast<unsigned>(registry.active_workloads().at(0));
    CHECK(id == 1);
    host.end(Outcome::reset);  // it may have run, and may be retried
    REQUIRE(host.assigned.size() == 2);
    CHECK(host.assigned[1].task == before);
    host.end(Outcome::finished);
    const TaskId after = host.ask(id);
    host.end(Outcome::reset);
    CHECK(host.assigned.size() == 3);
    CHECK(host.answers.at(after) == 1);
    // Only one attempt, even if it did not run.
    const TaskId one = host.ask(id);
    host.end(Outcome::connect_failed);
    CHECK(std::count_if(host.assigned.begin(), host.assigned.end(),
                        [&](const Assign& a) { return a.task == one; }) == 1);
    CHECK(host.answers.at(one) == 1);
}

TEST_CASE(
    "on sockets: new settings apply to new tasks, open tasks keep the old ones, and a dropped workload is "
    "unknown") {
    DispatcherFixture fixture(3, "pure", "", "\"memory_mb\":64,\"sockets\":64");
    TestConnection open = fixture.client();
    open.send(DispatcherFixture::post("o"));
    TestConnection& runner = fixture.at_runner("o");
    const std::string two =
        fixture.with("\"importance\":1}]",
                     "\"importance\":1},{\"name\":\"proof\",\"effect\":\"token\",\"due_time_us\":600000,"
                     "\"expiry_us\":700000,\"importance\":2}]");
    fixture.reload(two);
    CHECK(fixture.said.str().find("workloads added: proof; dropped: none; changed: none") !=
          std::string::npos);
    TestConnection proof = fixture.client();
    const auto post = [](const std::string& id, const std::string& more) {
        std::string request = DispatcherFixture::post(id, "X-Timeout: 700m\r\n" + more);
        return request.replace(request.find("/render/"), 8, "/proof/");
    };
    proof.send(post("p", "Idempotency-Key: k1\r\n"));
    fixture.at_runner("p").send(DispatcherFixture::done("p", "proof"));
    CHECK(fixture.until([&] { return proof.has("proof"); }));
    TestConnection keyless = fixture.client();
    keyless.send(post("q", ""));
    CHECK(fixture.until([&] { return keyless.has("400"); }));
    // The first workload is dropped while it has an open task.
    const auto from = two.find("{\"name\":\"render\""), to = two.find("{\"name\":\"proof\"");
    fixture.reload(two.substr(0, from) + two.substr(to));
    CHECK(fixture.said.str().find("dropped: render") != std::string::npos);
    runner.send(DispatcherFixture::done("o", "late"));
    CHECK(fixture.until([&] { return open.has("late"); }));
    TestConnection unknown = fixture.client();
    unknown.send(DispatcherFixture::post("u"));
    CHECK(fixture.until([&] { return unknown.has("404"); }));
    const auto& ends = fixture.dispatcher->counters().answers_by_workload();
    CHECK(ends.at("render").finished == 1);
    CHECK(ends.at("proof").finished == 1);
    CHECK(fixture.dispatcher->counters().reloads_applied() == 2);
}

TEST_CASE("a configuration with a missing or malformed value changes nothing") {
    DispatcherFixture fixture(1, "pure", "", "\"memory_mb\":64,\"sockets\":64");
    const auto without = [&](const std::string& removed) { return fixture.with(removed, ""); };
    std::uint64_t refused = 0;
    for (const auto& [text, why] : std::vector<std::pair<std::string, std::string>>{
             {" ", "is not JSON"},
             {fixture.text.substr(0, fixture.text.size() - 3), "is not JSON"},
             {without("\"name\":\"n0\","), "is short of name"},
             {without("\"seed\":\"2a\","), "is short of seed"},
             {without(",\"rules\":{\"fall_multiple\":400}"), "is short of settings.rules"},
             {without("\"registry_mode\":\"on_request\","),
              "is short of settings.registry_mode, which the one in force states"},
             {without("\"cancelling\":true,"), "is short of settings.caps.cancelling"},
             {without("\"max_assignments\":3,"), "is short of settings.caps.max_assignments"},
             {without("\"effect\":\"pure\","), "is short of settings.workloads.0.effect"},
             {without(",\"expiry_us\":900000"), "is short of settings.workloads.0.expiry_us"},
             {fixture.with("\"expiry_us\":900000", "\"expiry_us\":0"),
              "has a time that cannot be: settings.workloads.0.expiry_us"},
             {fixture.with("\"expiry_us\":900000", "\"expiry_us\":-5"), "has a time that cannot be"},
             {fixture.with("\"max_assignments\":3", "\"max_assignments\":0"),
              "settings.caps.max_assignments = 0, and a number from 1"},
             {fixture.with("\"effect\":\"pure\"", "\"effect\":\"purple\""),
              "knows an effect that is none"}}) {
        fixture.said.str("");
        // A new address of discovery in the same file must not take effect either.
        const std::string moved = "127.0.0.1:9", at = fixture.discovery.address();
        std::string file = text;
        if (const auto found = file.find(at); found != std::string::npos)
            file.replace(found, at.size(), moved);
        fixture.reload(file);
        CHECK_MESSAGE(fixture.said.str().find(why) != std::string::npos, why << ": " << fixture.said.str());
        CHECK(fixture.said.str().find("discovery moves") == std::string::npos);
        CHECK(fixture.dispatcher->counters().reloads_rejected() == ++refused);
    }
    CHECK(fixture.dispatcher->counters().reloads_applied() == 0);
    TestConnection client = fixture.client();
    client.send(DispatcherFixture::post("s"));
    fixture.at_runner("s").send(DispatcherFixture::done("s"));
    CHECK(fixture.until([&] { return client.has("picture"); }));
}

TEST_CASE(
    "an impossible setting is refused with its name and what was expected, before any part of the file takes "
    "effect") {
    const DispatcherFixture fixture;
    for (const auto& [text, why] : std::vector<std::pair<std::string, std::string>>{
             {fixture.with("\"max_assignments\":3", "\"max_assignments\":-1"), "and a number from 1"},
             {fixture.with("\"max_assignments\":3", "\"max_assignments\":\"three\""),
              "is not a number: three"},
             {fixture.with("\"resolution_us\":1000", "\"resolution_us\":1e400"), "resolution_us"},
             {fixture.with("\"cancelling\":true", "\"cancelling\":\"perhaps\""), "neither true nor false"},
             {fixture.with("\"importance\":1", "\"importance\":-2"),
              "settings.workloads.0.importance = -2, and a number from 0"},
             {fixture.with("\"fall_multiple\":400", "\"fall_multiple\":400,\"cold_from\":1.5"),
              "settings.rules.cold_from = 1.5, and a number from 0 to 1"},
             {fixture.with("\"importance\":1", "\"importance\":1,\"aim_stretch\":-0.5"),
              "aim_stretch = -0.5"}}) {
        CHECK_THROWS_WITH_AS(dispatcher::DispatcherConfig::read(text), doctest::Contains(why.c_str()),
                             std::runtime_error);
    }
    CHECK_THROWS_WITH_AS(
        dispatcher::DispatcherConfig::read(fixture.with("\"balancers\":1", "\"balancers\":4,\"me\":4")),
        doctest::Contains("settings.me = 4"), std::runtime_error);
    CHECK_THROWS_WITH_AS(
        dispatcher::DispatcherConfig::read(fixture.with("\"balancers\":1", "\"balancers\":0")),
        doctest::Contains("settings.balancers = 0"), std::runtime_error);
    CHECK_THROWS_WITH_AS(
        dispatcher::DispatcherConfig::read(fixture.with(
            "\"balancers\":1", "\"balancers\":1,\"tenants\":[{\"name\":\"t\",\"allowance_per_s\":-1}]")),
        doctest::Contains("settings.tenants.0.allowance_per_s = -1"), std::runtime_error);
    CHECK_NOTHROW(dispatcher::DispatcherConfig::read(
        fixture.with("\"balancers\":1", "\"balancers\":4,\"unheard_of\":[1,2]")));
}
