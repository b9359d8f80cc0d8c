// Other settings watched beside those in force: what is counted, and that nothing else comes of it.
#include "helpers.hpp"
#include "shadow/shadow.hpp"

using namespace gannethold;
using shadow::Kind;
using shadow::Shadow;

namespace {

// A made day at one dispatcher: what it decided, and what a shadow beside it counted. Each task ends after
// its time, and runners tell when it begins.
struct Day {
    std::vector<std::string> decided;
    shadow::Counts counts;

    // hand_made: compares as a shadow should, by a copy that this story keeps for itself.
    Day(const SettingsMap& orders, const SettingsMap* other, int every = 1,
        shadow::Counts* hand_made = nullptr) {
        Balancer balancer(orders, 7);
        std::unique_ptr<Shadow> beside;
        if (other) beside = std::make_unique<Shadow>(shadow::laid_over(orders, *other), every);
        std::multimap<Micros, Event> coming;
        std::vector<EndpointEntry> entries = FakeHost::entries(6);
        coming.emplace(1'000'000, MembershipUpdate{UpdateScope::complete, 1, std::move(entries)});
        for (unsigned i = 1; i <= 300; ++i) {
            TaskArrived a;
            a.task = TaskId{i}, a.workload = WorkloadId{i % 3}, a.expiry = 1'000'000 + i * 20'000 + 5'000'000;
            coming.emplace(1'000'000 + i * 20'000, a);
        }
        std::map<TaskId, int> legs;
        for (Micros now = 0; !coming.empty() && now < 20'000'000;) {
            now = coming.begin()->first;
            const Event event = coming.begin()->second;
            coming.erase(coming.begin());
            if (beside) beside->begin(now, balancer), beside->note(now, event);
            std::unique_ptr<Balancer> own;
            if (hand_made) {
                own = std::make_unique<Balancer>(balancer);
                own->apply(now, SettingsChanged{*other, {WorkloadId{0}, WorkloadId{1}, WorkloadId{2}}});
                own->apply(now, event);
            }
            balancer.apply(now, event);
            std::vector<Action> out, others;
            balancer.collect_actions(now, out);
            if (beside) beside->settle(now, out);
            if (own) own->collect_actions(now, others), count_sendings(out, others, *hand_made);
            for (const Action& action : out) {
                if (const auto* w = std::get_if<WakeAt>(&action))
                    coming.emplace(std::max(w->at, now + 1), TimerFired{});
                if (const auto* b = std::get_if<Bounce>(&action)) note("bounce", b->task);
                if (const auto* b = std::get_if<Abandon>(&action)) note("abandon", b->task);
                if (const auto* s = std::get_if<Assign>(&action)) {
                    note("to " + std::to_string(static_cast<unsigned>(s->runner)), s->task);
                    const int number = legs[s->task]++;
                    const Micros takes = 200'000 + 1'000 * (static_cast<Micros>(s->task) * 37 % 400);
                    coming.emplace(now + 1'000, Progress{s->task, 0, s->runner, number, Stage::begun});
                    coming.emplace(
                        now + takes,
                        AssignmentEnded{s->task, true, 0, takes, s->runner, number, Outcome::finished, {}});
                }
            }
        }
        if (beside) counts = beside->counts();
    }
    void note(const std::string& what, TaskId task) {
        decided.push_back(std::to_string(static_cast<std::uint64_t>(task)) + " " + what);
    }

    static void count_sendings(const std::vector<Action>& ours, const std::vector<Action>& others,
                               shadow::Counts& counts) {
        std::map<std::uint64_t, std::vector<int>> to;  // by task: the runner here, and there
        for (const auto* list : {&ours, &others})
            for (const Action& action : *list)
                if (const auto* s = std::get_if<Assign>(&action)) {
                    auto& row = to[static_cast<std::uint64_t>(s->task)];
                    row.resize(2, -1);
                    row[list == &others] = static_cast<int>(s->runner);
                }
        for (const auto& [task, row] : to) {
            const bool one_only = row[0] < 0 || row[1] < 0;
            if (one_only) ++counts.differ[static_cast<std::size_t>(Kind::held_or_sent)];
            if (!one_only && row[0] != row[1]) ++counts.differ[static_cast<std::size_t>(Kind::runner)];
        }
    }
};

SettingsMap silent(int dispatchers, int me) {
    SettingsMap orders = plain_orders();
    orders["reports.names"] = "", orders["trade.tells_start"] = "true";
    orders["dispatchers"] = std::to_string(dispatchers), orders["me"] = std::to_string(me);
    return orders;
}

std::uint64_t all_of(const shadow::Counts& counts) {
    std::uint64_t sum = 0;
    for (const std::uint64_t n : counts.differ) sum += n;
    return sum;
}

}  // namespace

TEST_CASE("shadow: the same settings twice never decide otherwise, sampled or in every turn") {
    for (const int every : {1, 7})
        for (const SettingsMap& orders : {silent(3, 1), plain_orders()}) {
            const Day day(orders, &orders, every);
            CHECK(day.counts.decisions > 20);
            CHECK(all_of(day.counts) == 0);
        }
}

TEST_CASE("shadow: a setting that matters is counted under its kind, as often as a count by hand has it") {
    shadow::Counts by_hand;
    const SettingsMap orders = silent(3, 0), other = silent(3, 2);  // another part of the fleet is near
    const Day day(orders, &other, 1, &by_hand);
    const auto of = [](const shadow::Counts& c, Kind kind) {
        return c.differ[static_cast<std::size_t>(kind)];
    };
    CHECK(of(day.counts, Kind::runner) > 0);
    CHECK(of(day.counts, Kind::runner) == of(by_hand, Kind::runner));
    CHECK(of(day.counts, Kind::held_or_sent) == of(by_hand, Kind::held_or_sent));
}

TEST_CASE("shadow: watched or not, sampled or not, the same is decided") {
    const SettingsMap orders = silent(3, 0), other = silent(9, 4);
    const Day alone(orders, nullptr);
    CHECK(alone.decided.size() > 200);
    for (const int every : {1, 5}) CHECK(Day(orders, &other, every).decided == alone.decided);
}

TEST_CASE("shadow: a turn for which there is no time is left out, and the next that is due is not") {
    const SettingsMap orders = silent(3, 0);
    const Balancer balancer(orders, 7);
    Shadow beside(orders, 2);
    beside.begin(0, balancer);
    CHECK(!beside.watching());
    CHECK(beside.samples_next());
    beside.begin(0, balancer, false);
    beside.settle(0, {});
    CHECK((!beside.watching() && beside.counts().turns == 0));
    beside.begin(0, balancer), beside.begin(0, balancer);
    CHECK(beside.watching());
}

TEST_CASE("shadow: each kind is counted once, and by what it is about") {
    using T = TaskId;
    using R = RunnerId;
    shadow::Counts c;
    shadow::compare({Assign{T{1}, R{1}}, Assign{T{2}, R{1}}, Bounce{T{3}}, Abandon{T{4}}, Withdraw{T{5}, 0},
                     Probe{R{1}}, WatchMembership{}, CloseIdle{R{2}}},
                    {Assign{T{1}, R{2}}, Bounce{T{6}}, Assign{T{3}, R{1}}, LogLine{"x"}, WakeAt{5}}, c);
    CHECK(c.differ == std::array<std::uint64_t, 8>{1, 1, 2, 1, 1, 1, 1, 1});
    CHECK(c.decisions == 9);
}

TEST_CASE(
    "shadow: a workload goes by the terms of its name, wherever it stands; one that is not named keeps its "
    "own") {
    const SettingsMap ours{{"workloads.count", "2"},         {"workloads.0.name", "a"},
                           {"workloads.0.due_time_us", "1"}, {"workloads.1.name", "b"},
                           {"workloads.1.due_time_us", "2"}, {"me", "3"}};
    const SettingsMap other{{"workloads.count", "2"},         {"workloads.0.name", "c"},
                            {"workloads.0.due_time_us", "3"}, {"workloads.1.name", "a"},
                            {"workloads.1.due_time_us", "4"}, {"me", "5"}};
    const SettingsMap all = shadow::laid_over(ours, other);
    CHECK(all.at("workloads.count") == "2");
    CHECK(all.at("workloads.0.due_time_us") == "4");
    CHECK(all.at("workloads.1.due_time_us") == "2");
    CHECK(all.at("me") == "5");
}

TEST_CASE(
    "shadow, on sockets: a bad second configuration is refused at start and at a reload, and service goes "
    "on") {
    const std::string path = "watched-" + std::to_string(getpid()) + ".json";
    const auto put = [&](const std::string& words) { std::ofstream(path) << words; };
    DispatcherFixture plain;
    put(plain.with("\"max_assignments\":3", "\"max_assignments\":-3"));
    dispatcher::Extras extras;
    extras.watched = path, extras.watched_every = 1, extras.watched_most = 1'000'000;
    CHECK_THROWS_WITH_AS(
        DispatcherFixture(1, "pure", "", "\"memory_mb\":64,\"sockets\":64", "on_request", "900000", extras),
        doctest::Contains("settings.caps.max_assignments = -3"), std::runtime_error);
    put(plain.text);
    DispatcherFixture fixture(1, "pure", "", "\"memory_mb\":64,\"sockets\":64", "on_request", "900000",
                              extras);
    put("{");
    fixture.reload(fixture.with("\"importance\":1", "\"importance\":2"));
    CHECK(fixture.said.str().find("the old configuration stays") != std::string::npos);
    CHECK(fixture.dispatcher->counters().reloads_rejected() == 1);
    put(plain.text);
    fixture.reload(fixture.with("\"importance\":1", "\"importance\":2"));
    CHECK(fixture.dispatcher->counters().reloads_applied() == 1);
    TestConnection client = fixture.client();
    client.send(DispatcherFixture::post("s"));
    fixture.at_runner("s").send(DispatcherFixture::done("s"));
    CHECK(fixture.until([&] { return client.has("picture"); }));
    CHECK(fixture.dispatcher->watched()->decisions > 0);
    std::remove(path.c_str());
}
