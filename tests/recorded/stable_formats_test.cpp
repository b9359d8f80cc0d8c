// Formats that must not change, since other processes and operators' files use them: the messages of a
// handover, and the names in both settings files. tests/snapshot covers stored snapshots.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "dispatcher/dispatcher_config.hpp"
#include "handover/messages.hpp"
#include "operator_settings/operator_settings.hpp"
#include "json/json.hpp"
#include "toml/toml_reader.hpp"

using namespace gannethold;

namespace {

std::string whole_file(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    REQUIRE(file);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

// The smallest valid configuration, with further text inside or beside its settings.
std::string configuration(const std::string& settings, const std::string& beside = "",
                          const std::string& of_workload = "") {
    return R"({"name": "n0", "listen": "127.0.0.1:5000", "discovery": "127.0.0.1:8500")" + beside +
           R"(, "settings": {"workloads": [{"name": "a", "effect": "pure", "due_time_us": 400000,
           "expiry_us": 5000000)" +
           of_workload + "}]" + settings + "}}";
}

std::string refusal(const std::string& text) {
    try {
        dispatcher::DispatcherConfig::read(text);
    } catch (const std::exception& e) {
        return e.what();
    }
    return "";
}

std::string refusal_of_operators_file(const std::string& text) {
    try {
        operator_settings::OperatorSettings::read(text, "operator.toml");
    } catch (const toml::TomlError& e) {
        return e.what();
    }
    return "";
}

// Enables every example that is commented out in deploy/operator.toml.
std::string uncommented(const std::string& text) {
    std::istringstream lines(text);
    std::string all;
    for (std::string line; std::getline(lines, line);) {
        const bool example =
            line.starts_with("# ") && (line[2] == '[' || line.find(" = ") < line.find(' ', 2) + 1);
        all += (example ? line.substr(2) : line) + "\n";
    }
    return all;
}

}  // namespace

TEST_CASE("the messages of a handover keep their bytes") {
    using namespace handover;
    CHECK(encode(Greeting{1, "n0", 2}) == R"({"name":"n0","others":2,"v":1})");
    const RunnerConditions conditions{{"s-1", {2'500'000, -1}}, {"s-2", {0, 700}}, {"s-3", {5, 6}}};
    const std::string spelled =
        R"({"s-1":{"aside_us":2500000},"s-2":{"cold_us":700},"s-3":{"aside_us":5,"cold_us":6}})";
    CHECK(encode(conditions) == spelled);
    CHECK(encode(decode_runner_conditions(spelled)) == spelled);
    const std::string line = "greeting 3\nabclist 1\nxtroubles 2\n{}learned 0\ndone 0\n";
    MessageReader reader;
    REQUIRE(reader.feed(line));
    std::string again;
    std::vector<MessageKind> kinds;
    while (const std::optional<Message> message = reader.next())
        again += encode(*message), kinds.push_back(message->kind);
    CHECK(again == line);
    CHECK(kinds == std::vector{MessageKind::greeting, MessageKind::list, MessageKind::runner_conditions,
                               MessageKind::learned, MessageKind::done});
    const auto greeting = decode_greeting(R"({"name":"n0","others":2,"v":1})");
    REQUIRE(greeting);
    CHECK((greeting->version == 1 && greeting->name == "n0" && greeting->others == 2));
}

TEST_CASE("every numeric setting of the dispatcher is read: a malformed value is refused with its name") {
    for (const std::string& name : std::vector<std::string>{"balancers",
                                                            "me",
                                                            "resolution_us",
                                                            "surplus_importance",
                                                            "zone",
                                                            "caps.max_assignments",
                                                            "caps.max_retry_after_us",
                                                            "caps.keepalive_us",
                                                            "rules.cold_from",
                                                            "rules.warm_after_us",
                                                            "rules.fall_multiple",
                                                            "rules.tip_after_us",
                                                            "rules.must_ask_in_us",
                                                            "rules.drain_grace_us",
                                                            "caps.cancelling",
                                                            "caps.parallel_tries",
                                                            "caps.probes",
                                                            "caps.retry_after",
                                                            "specifics.tells_start",
                                                            "clients.marks_retry",
                                                            "rules.only_draining_binds",
                                                            "registry_mode",
                                                            "importance_by",
                                                            "specifics.class_stretch",
                                                            "tenants.count"}) {
        const auto dot = name.find('.');
        const std::string nonsense = dot == std::string::npos ? ", \"" + name + "\": \"x\""
                                                              : ", \"" + name.substr(0, dot) + "\": {\"" +
                                                                    name.substr(dot + 1) + "\": \"x\"}";
        CAPTURE(name);
        CHECK(refusal(configuration("")) == "");
        const std::string message = refusal(configuration(nonsense));
        // Two are refused under their internal names, so that only the value can be matched.
        const bool by_name = message.find(name.substr(name.find('.') + 1)) != std::string::npos;
        CHECK((by_name || message.ends_with(" is not a number: x")));
    }
    for (const std::string& name : std::vector<std::string>{"window_us", "importance", "tardy_importance",
                                                            "aim_stretch", "machine_kind"}) {
        CAPTURE(name);
        CHECK(refusal(configuration("", "", ", \"" + name + "\": \"x\"")).find(name) != std::string::npos);
    }
    for (const std::string& name : std::vector<std::string>{"admin", "peer_listen"}) {
        CAPTURE(name);
        CHECK(refusal(configuration("", ", \"" + name + "\": \"x\"")).find(name) != std::string::npos);
    }
    for (const std::string& beside : std::vector<std::string>{
             R"(, "peers": ["x"])", R"(, "seed": "x")", R"(, "limits": {"memory_mb": 0})",
             R"(, "limits": {"sockets": 0})", R"(, "known": 3)"}) {
        CAPTURE(beside);
        CHECK(refusal(configuration("", beside)) != "");
    }
}

TEST_CASE("settings without bounds are read with their value") {
    for (const std::string& name : std::vector<std::string>{
             "dcs", "kinds", "reporting.names", "reporting.how", "caps.connect_timeout_us", "caps.max_open",
             "caps.may_tell", "specifics.class_kind"}) {
        CAPTURE(name);
        const auto dot = name.find('.');
        const std::string within = dot == std::string::npos ? "\"" + name + "\": 7531"
                                                            : "\"" + name.substr(0, dot) + "\": {\"" +
                                                                  name.substr(dot + 1) + "\": 7531}";
        const auto posting = dispatcher::DispatcherConfig::read(configuration(", " + within));
        CHECK(std::any_of(posting.settings.begin(), posting.settings.end(),
                          [](const auto& order) { return order.second.find("7531") != std::string::npos; }));
    }
}

TEST_CASE("unknown names in the dispatcher's configuration are ignored") {
    CHECK(refusal(configuration(R"(, "no_such_setting": 3, "caps": {"no_such_cap": "x"})",
                                R"(, "no_such_name": "x")", R"(, "no_such_term": "x")")) == "");
}

TEST_CASE("the deployed operators' file can be read, with and without its examples") {
    const std::string text = whole_file(DEPLOYED "/operator.toml");
    CHECK(refusal_of_operators_file(text) == "");
    const std::string all = uncommented(text);
    CHECK(refusal_of_operators_file(all) == "");
    const operator_settings::OperatorSettings settings =
        operator_settings::OperatorSettings::read(all, "operator.toml");
    CHECK(settings.control.path == "/run/gannethold/control.sock");
    CHECK(settings.warnings.empty());
    CHECK(settings.snapshot.folder == "/var/lib/gannethold");
    CHECK(settings.tubes.listeners.size() == 1);
    CHECK(settings.tubes.broker.tubes.size() == 1);
    CHECK(settings.shadow.configuration == "/etc/gannethold/next.json");
}

TEST_CASE("every name of the operators' file is read: a value of a wrong type is refused with its name") {
    const std::vector<std::pair<std::string, std::vector<std::string>>> tables{
        {"[log]", {"form"}},
        {"[control]", {"socket", "clients", "remembered_changes"}},
        {"[drain]", {"front_notices_s", "closing_takes_s"}},
        {"[keepsake]", {"folder", "every_s", "half_life_h"}},
        {"[snapshot]", {"folder", "every_s", "half_life_h"}},
        {"[beanstalk]",
         {"listen", "connections", "longest_job", "most_jobs", "most_mb", "other_tubes", "cold"}},
        {"[beanstalk.other]", {"effect", "due_s", "expiry_s", "importance", "pushed"}},
        {"[[beanstalk.tube]]", {"name", "effect", "due_s", "expiry_s", "importance", "pushed", "workload"}},
        {"[[beanstalk.entrance]]", {"address", "kind", "zone"}},
        {"[repeats]", {"remember", "by_path", "keep_s", "most", "most_mb", "longest_result"}},
        {"[retries]", {"deduplicate", "by_path", "retention_s", "max_entries", "max_mb", "max_result_bytes"}},
        {"[shadow]", {"configuration", "every", "most_ms_per_s"}}};
    for (const auto& each : tables) {
        const std::string& table = each.first;
        for (const std::string& name : each.second) {
            CAPTURE(table);
            CAPTURE(name);
            const std::string message = refusal_of_operators_file(table + "\n" + name + " = {}\n");
            CHECK(message.find(name) != std::string::npos);
            CHECK(message.find("no such name") == std::string::npos);
        }
        CHECK(refusal_of_operators_file(table + "\nno_such_name = 1\n") != "");
    }
    CHECK(refusal_of_operators_file("[no_such_table]\nx = 1\n").find("no such name") != std::string::npos);
}
