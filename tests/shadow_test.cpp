// Shadow evaluation counts the decisions that other settings would change, and affects nothing else.
#include "helpers.hpp"
#include "shadow/shadow.hpp"

using namespace gannethold;
using shadow::DecisionKind;
using shadow::Shadow;

namespace {

// A simulated day at one dispatcher: the decisions of its Balancer, and the counts of a shadow evaluation of
// other settings. Each task ends after its duration, and runners report when it begins.
struct SimulatedDay {
    std::vector<std::string> decided;
    shadow::Counts counts;

    // by_hand: if given, receives the counts of an independent comparison with a copy of the Balancer.
    SimulatedDay(const SettingsMap& settings, const SettingsMap* other, int sample_interval = 1,
                 shadow::Counts* by_hand = nullptr) {
        Balancer balancer(settings, 7);
        std::unique_ptr<Shadow> shadow_evaluation;
        if (other)
            shadow_evaluation =
                std::make_unique<Shadow>(shadow::merge_settings(settings, *other), sample_interval);
        std::multimap<Micros, Event> events;
        std::vector<EndpointEntry> entries = FakeHost::entries(6);
        events.emplace(1'000'000, MembershipUpdate{UpdateScope::complete, 1, std::move(entries)});
        for (unsigned i = 1; i <= 300; ++i) {
            TaskArrived a;
            a.task = TaskId{i}, a.workload = WorkloadId{i % 3}, a.expiry = 1'000'000 + i * 20'000 + 5'000'000;
            events.emplace(1'000'000 + i * 20'000, a);
        }
        std::map<TaskId, int> assignments;
        for (Micros now = 0; !events.empty() && now < 20'000'000;) {
            now = events.begin()->first;
            const Event event = events.begin()->second;
            events.erase(events.begin());
            if (shadow_evaluation)
                shadow_evaluation->begin_turn(now, balancer), shadow_evaluation->apply_event(now, event);
            std::unique_ptr<Balancer> copy;
            if (by_hand) {
                copy = std::make_unique<Balancer>(balancer);
                copy->apply(now, SettingsChanged{*other, {WorkloadId{0}, WorkloadId{1}, WorkloadId{2}}});
                copy->apply(now, event);
            }
            balancer.apply(now, event);
            std::vector<Action> actions, other_actions;
            balancer.collect_actions(now, actions);
            if (shadow_evaluation) shadow_evaluation->compare_turn(now, actions);
            if (copy)
                copy->collect_actions(now, other_actions),
                    count_assignments(actions, other_actions, *by_hand);
            for (const Action& action : actions) {
                if (const auto* w = std::get_if<WakeAt>(&action))
                    events.emplace(std::max(w->at, now + 1), TimerFired{});
                if (const auto* b = std::get_if<Bounce>(&action)) record("bounce", b->task);
                if (const auto* b = std::get_if<Abandon>(&action)) record("abandon", b->task);
                if (const auto* s = std::get_if<Assign>(&action)) {
                    record("to " + std::to_string(static_cast<unsigned>(s->runner)), s->task);
                    const int number = assignments[s->task]++;
                    const Micros duration = 200'000 + 1'000 * (static_cast<Micros>(s->task) * 37 % 400);
                    events.emplace(now + 1'000, Progress{s->task, 0, s->runner, number, Stage::begun});
                    events.emplace(now + duration,
                                   AssignmentEnded{
                                       s->task, true, 0, duration, s->runner, number, Outcome::finished, {}});
                }
            }
        }
        if (shadow_evaluation) counts = shadow_evaluation->counts();
    }
    void record(const std::string& what, TaskId task) {
        decided.push_back(std::to_string(static_cast<std::uint64_t>(task)) + " " + what);
    }

    static void count_assignments(const std::vector<Action>& ours, const std::vector<Action>& other_actions,
                                  shadow::Counts& counts) {
        std::map<std::uint64_t, std::vector<int>> to;  // by task: the runner in force, and the other
        for (const auto* list : {&ours, &other_actions})
            for (const Action& action : *list)
                if (const auto* s = std::get_if<Assign>(&action)) {
                    auto& row = to[static_cast<std::uint64_t>(s->task)];
                    row.resize(2, -1);
                    row[list == &other_actions] = static_cast<int>(s->runner);
                }
        for (const auto& [task, row] : to) {
            const bool only_one = row[0] < 0 || row[1] < 0;
            if (only_one) ++counts.differ[static_cast<std::size_t>(DecisionKind::queued_or_assigned)];
            if (!only_one && row[0] != row[1])
                ++counts.differ[static_cast<std::size_t>(DecisionKind::runner)];
        }
    }
};

SettingsMap settings_without_reports(int dispatchers, int me) {
    SettingsMap settings = plain_orders();
    settings["reports.names"] = "", settings["trade.tells_start"] = "true";
    settings["dispatchers"] = std::to_string(dispatchers), settings["me"] = std::to_string(me);
    return settings;
}

std::uint64_t total_differences(const shadow::Counts& counts) {
    std::uint64_t sum = 0;
    for (const std::uint64_t n : counts.differ) sum += n;
    return sum;
}

}  // namespace

TEST_CASE("shadow: equal settings never count a difference, whether every turn is sampled or not") {
    for (const int sample_interval : {1, 7})
        for (const SettingsMap& settings : {settings_without_reports(3, 1), plain_orders()}) {
            const SimulatedDay day(settings, &settings, sample_interval);
            CHECK(day.counts.decisions > 20);
            CHECK(total_differences(day.counts) == 0);
        }
}

TEST_CASE(
    "shadow: a setting that matters is counted under its kind, as often as an independent comparison finds") {
    shadow::Counts by_hand;
    const SettingsMap settings = settings_without_reports(3, 0),
                      other = settings_without_reports(3, 2);  // other runners are near
    const SimulatedDay day(settings, &other, 1, &by_hand);
    const auto of = [](const shadow::Counts& c, DecisionKind kind) {
        return c.differ[static_cast<std::size_t>(kind)];
    };
    CHECK(of(day.counts, DecisionKind::runner) > 0);
    CHECK(of(day.counts, DecisionKind::runner) == of(by_hand, DecisionKind::runner));
    CHECK(of(day.counts, DecisionKind::queued_or_assigned) == of(by_hand, DecisionKind::queued_or_assigned));
}

TEST_CASE("shadow: the decisions in force are the same with and without shadow evaluation") {
    const SettingsMap settings = settings_without_reports(3, 0), other = settings_without_reports(9, 4);
    const SimulatedDay alone(settings, nullptr);
    CHECK(alone.decided.size() > 200);
    for (const int sample_interval : {1, 5})
        CHECK(SimulatedDay(settings, &other, sample_interval).decided == alone.decided);
}

TEST_CASE("shadow: a turn for which there is no time is skipped, and the next due turn is sampled") {
    const SettingsMap settings = settings_without_reports(3, 0);
    const Balancer balancer(settings, 7);
    Shadow shadow_evaluation(settings, 2);
    shadow_evaluation.begin_turn(0, balancer);
    CHECK(!shadow_evaluation.is_sampling());
    CHECK(shadow_evaluation.is_next_sampled());
    shadow_evaluation.begin_turn(0, balancer, false);
    shadow_evaluation.compare_turn(0, {});
    CHECK((!shadow_evaluation.is_sampling() && shadow_evaluation.counts().turns == 0));
    shadow_evaluation.begin_turn(0, balancer), shadow_evaluation.begin_turn(0, balancer);
    CHECK(shadow_evaluation.is_sampling());
}

TEST_CASE("shadow: each kind of decision is counted once, under its own kind") {
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
    "shadow: a workload takes the other settings of the same name, at whatever index; one without keeps its "
    "own") {
    const SettingsMap ours{{"workloads.count", "2"},         {"workloads.0.name", "a"},
                           {"workloads.0.due_time_us", "1"}, {"workloads.1.name", "b"},
                           {"workloads.1.due_time_us", "2"}, {"me", "3"}};
    const SettingsMap other{{"workloads.count", "2"},         {"workloads.0.name", "c"},
                            {"workloads.0.due_time_us", "3"}, {"workloads.1.name", "a"},
                            {"workloads.1.due_time_us", "4"}, {"me", "5"}};
    const SettingsMap all = shadow::merge_settings(ours, other);
    CHECK(all.at("workloads.count") == "2");
    CHECK(all.at("workloads.0.due_time_us") == "4");
    CHECK(all.at("workloads.1.due_time_us") == "2");
    CHECK(all.at("me") == "5");
}

TEST_CASE(
    "shadow, on sockets: an invalid second configuration is refused at the start and at a reload, and "
    "service "
    "continues") {
    const std::string path = "watched-" + std::to_string(getpid()) + ".json";
    const auto write_file = [&](const std::string& text) { std::ofstream(path) << text; };
    DispatcherFixture plain_fixture;
    write_file(plain_fixture.with("\"max_assignments\":3", "\"max_assignments\":-3"));
    dispatcher::DispatcherOptions options;
    options.shadow_configuration = path, options.shadow_sample_interval = 1,
    options.max_shadow_cpu_per_second = 1'000'000;
    CHECK_THROWS_WITH_AS(
        DispatcherFixture(1, "pure", "", "\"memory_mb\":64,\"sockets\":64", "on_request", "900000", options),
        doctest::Contains("settings.caps.max_assignments = -3"), std::runtime_error);
    write_file(plain_fixture.text);
    DispatcherFixture fixture(1, "pure", "", "\"memory_mb\":64,\"sockets\":64", "on_request", "900000",
                              options);
    write_file("{");
    fixture.reload(fixture.with("\"importance\":1", "\"importance\":2"));
    CHECK(fixture.said.str().find("the old configuration stays") != std::string::npos);
    CHECK(fixture.dispatcher->counters().reloads_rejected() == 1);
    write_file(plain_fixture.text);
    fixture.reload(fixture.with("\"importance\":1", "\"importance\":2"));
    CHECK(fixture.dispatcher->counters().reloads_applied() == 1);
    TestConnection client = fixture.client();
    client.send(DispatcherFixture::post("s"));
    fixture.at_runner("s").send(DispatcherFixture::done("s"));
    CHECK(fixture.until([&] { return client.has("picture"); }));
    CHECK(fixture.dispatcher->shadow_counts()->decisions > 0);
    std::remove(path.c_str());
}
