#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "helpers.hpp"

#include <algorithm>
#include <cmath>

using namespace gannethold;

namespace {

double sum_of(const std::map<RunnerId, double>& fractions) {
    double sum = 0;
    for (const auto& [id, f] : fractions) sum += f >= 0 ? f : HUGE_VAL;
    return sum;
}

// Runs tasks that take 100 ms on runner 1 and 400 ms on all others.
void run_tasks(FakeHost& host, int tasks) {
    for (int i = 0; i < tasks; ++i) {
        host.ask();
        const bool quick = host.assigned.back().runner == RunnerId{1};
        host.pass(100'000);
        host.end(Outcome::finished, quick ? 100'000 : 400'000, 0, {2, 0, 1});
    }
}

SettingsMap settings_with(const SettingsMap& others) {
    SettingsMap settings = plain_orders();
    for (const auto& [name, value] : others) settings[name] = value;
    return settings;
}

}  // namespace

// ---- the four rules ----

TEST_CASE("rule 1: a task without a runner gets exactly one answer, before its expiry") {
    FakeHost host;
    const Micros expiry = host.now + 5'000'000;
    const TaskId task = host.ask();
    while (host.now < expiry && host.answers[task] == 0) host.pass(10'000);
    CHECK(host.now < expiry);
    host.pass(8'000'000);
    CHECK(host.answers[task] == 1);
    host.fleet(2, 2);
    CHECK(host.assigned.empty());
}

TEST_CASE("rule 2: a side-effecting task is retried only if it provably did not run, else it is abandoned") {
    for (const Outcome outcome : {Outcome::error, Outcome::reset, Outcome::timed_out, Outcome::withdrawn,
                                  Outcome::full, Outcome::connect_failed}) {
        FakeHost host;
        host.fleet(3, 2);
        host.ask(2);
        CHECK(host.assigned.back().deadline < host.now + 5'000'000);
        host.end(outcome);
        CHECK(host.assigned.size() == 1U + proves_never_ran(outcome));
        CHECK(host.count<Abandon>() == !proves_never_ran(outcome));
        CHECK(host.count<Bounce>() == 0);
        if (proves_never_ran(outcome)) CHECK(host.assigned[0].runner != host.assigned[1].runner);
    }
}

TEST_CASE("rule 2: a fingerprinted task that may have run is retried in its group and window, or abandoned") {
    for (const bool in_window : {true, false}) {
        FakeHost host(settings_with({{"workloads.1.window_us", in_window ? "4000000" : "200000"}}));
        host.fleet(
            {host.entry(1), host.entry(2, RunnerState::ready, 7), host.entry(3, RunnerState::ready, 7)});
        for (unsigned id : {2u, 3u}) host.report(id, 2, 0);
        host.report(1, 0, 2);
        host.ask(1);
        const RunnerId first = host.assigned.back().runner;
        host.report(1, 2, 0);
        host.pass(250'000);
        for (unsigned id : {2u, 3u}) host.report(id, 2, first == RunnerId{id});
        host.end(Outcome::reset);
        REQUIRE(host.assigned.size() == (in_window ? 2 : 1));
        CHECK(host.assigned.back().runner != RunnerId{1});
        if (in_window) CHECK(host.assigned.back().runner != first);
        if (in_window) host.end(Outcome::error);
        host.pass(6'000'000);
        CHECK(host.assigned.size() == (in_window ? 2 : 1));
        CHECK(host.count<Abandon>() == 1);
        CHECK(host.count<Bounce>() == 0);
    }
}

TEST_CASE("rule 3: a runner that is draining, gone or missing from a complete list gets no tasks") {
    for (const int way : {0, 1, 2}) {
        FakeHost host;
        host.fleet(2, 4);
        if (way == 0) host.fleet({host.entry(1, RunnerState::draining)}, UpdateScope::delta);
        if (way == 1) host.fleet({host.entry(1, RunnerState::gone)}, UpdateScope::delta);
        if (way == 2) host.fleet({host.entry(2)});
        for (int i = 0; i < 8; ++i) host.ask();
        for (const Assign& a : host.assigned) CHECK(a.runner == RunnerId{2});
        CHECK(host.assigned.size() == 4);
        CHECK(host.balancer.fractions().count(RunnerId{1}) == 0);
    }
}

TEST_CASE("rule 4: a runner in slow start gets this dispatcher's part of its budget, whatever it reports") {
    const SettingsMap settings = settings_with({{"rules.cold_from", "0.1"},
                                                {"rules.warm_after_us", "20000000"},
                                                {"rules.fall_multiple", "4"},
                                                {"rules.tip_after_us", "2000000"},
                                                {"dispatchers", "4"}});
    FakeHost host(settings);
    EndpointEntry started = host.entry(1);
    started.started_at = host.now;
    host.fleet({started});
    for (int i = 0; i < 20; ++i, host.pass(50'000)) {
        host.report(1, 50, static_cast<double>(host.assigned.size()));
        host.ask();
    }
    CHECK(host.assigned.size() >= 1);
    // The budget is 0.1 to 0.15 of about 55 slots for 2 s, times 4: 44 to 66 s of work in tasks of 1 s. This
    // dispatcher may use an eighth of it.
    CHECK(host.assigned.size() <= 8);
}

// ---- the design ----

TEST_CASE("fractions start equal, sum to one and move toward the faster runner") {
    FakeHost host;
    host.fleet(4, 2);
    for (const auto& [id, f] : host.balancer.fractions()) CHECK(f == doctest::Approx(0.25));
    run_tasks(host, 150);
    const auto fractions = host.balancer.fractions();
    CHECK(sum_of(fractions) == doctest::Approx(1));
    CHECK(fractions.at(RunnerId{1}) > 0.4);
}

TEST_CASE("a new runner starts with the mean fraction, a draining one gets none") {
    FakeHost host;
    host.fleet(4, 2);
    run_tasks(host, 100);
    host.fleet({host.entry(5)}, UpdateScope::delta);
    CHECK(host.balancer.fractions().at(RunnerId{5}) == doctest::Approx(0.2));
    CHECK(sum_of(host.balancer.fractions()) == doctest::Approx(1));
    host.fleet({host.entry(1, RunnerState::draining)}, UpdateScope::delta);
    CHECK(sum_of(host.balancer.fractions()) == doctest::Approx(1));
}

TEST_CASE("the same seed and events give the same choices, another seed gives others") {
    FakeHost a, b, c(plain_orders(), 2);
    for (FakeHost* host : {&a, &b, &c}) {
        host->fleet(6, 9);
        for (int i = 0; i < 40; ++i) host->ask();
    }
    const auto same = [](const Assign& x, const Assign& y) { return x.runner == y.runner; };
    CHECK(std::equal(a.assigned.begin(), a.assigned.end(), b.assigned.begin(), same));
    CHECK(!std::equal(a.assigned.begin(), a.assigned.end(), c.assigned.begin(), same));
}

TEST_CASE("a runner that fails fast does not look fast") {
    FakeHost host;
    host.fleet(3, 3);
    for (int i = 0; i < 120; ++i) {
        host.ask();
        if (host.assigned.back().runner == RunnerId{1}) host.end(Outcome::error, 2'000, 0, {3, 0, 1});
        host.pass(100'000);
        host.end(Outcome::finished, 300'000, 0, {3, 0, 1});
    }
    CHECK(host.balancer.fractions().at(RunnerId{1}) < 0.2);
}

// ---- capacity ----

TEST_CASE("an assignment lost on a dead connection does not occupy its runner for ever") {
    FakeHost host(settings_with({{"caps.probes", "true"}}));
    host.fleet(1, 2);
    host.ask();  // the runner finishes it, but its answer is lost
    host.pass(300'000);
    for (int i = 0; i < 12; ++i, host.pass(150'000)) {
        host.report(1, 2, 0);
        const std::size_t before = host.assigned.size();
        host.ask(), host.ask();
        REQUIRE(host.assigned.size() == before + 2);  // both slots, by the latest report
        host.end(Outcome::finished, 100'000, 0, {1, 0, 1});
        host.end(Outcome::finished, 100'000, 1, {2, 0, 0});
    }
}

TEST_CASE("a report with an impossible value is ignored") {
    for (const double bad : {std::nan(""), -3.0, 1e30, HUGE_VAL}) {
        FakeHost host;
        host.fleet(1, 1);
        host.report(1, bad, 0);
        host.report(1, 1, bad);
        host.tell(ProbeEnded{RunnerId{1}, Outcome::finished, 1, {bad}});
        for (int i = 0; i < 3; ++i) host.ask();
        CHECK(host.assigned.size() == 1);
        host.pass(1'500'000);
        CHECK(sum_of(host.balancer.fractions()) == doctest::Approx(1));
    }
}

TEST_CASE("without reports of held tasks, slots are learned from tasks that end without a wait") {
    FakeHost host(settings_with({{"reports.names", ""}}));
    host.fleet({host.entry(1)});
    for (int i = 0; i < 4; ++i) host.ask();
    for (std::size_t ended = 0; ended < host.assigned.size(); ++ended) {
        host.pass(100'000);
        host.end(Outcome::finished, 100'000, static_cast<int>(host.assigned.size() - 1 - ended));
    }
    host.assigned.clear();
    host.ask();
    host.ask();
    CHECK(host.assigned.size() == 2);
}

TEST_CASE("near runners are used first while their capacity is known, far ones when no near one has any") {
    for (const bool known : {true, false}) {
        FakeHost host(
            settings_with({{"zone", "1"}, {"reports.names", known ? "free_slots,waiting,held" : ""}}));
        EndpointEntry near = host.entry(1);
        near.zone = ZoneId{1};
        host.fleet({near, host.entry(2)});
        for (const unsigned id : {1u, 2u}) host.report(id, 8, 0);
        int far = 0;
        for (int i = 0; i < 8; ++i) host.ask();
        for (const Assign& a : host.assigned) far += a.runner == RunnerId{2};
        CHECK((far == 0) == known);
        for (int i = 0; i < 4; ++i) host.ask();
        if (known) CHECK(host.assigned.back().runner == RunnerId{2});
    }
}

// ---- outlier ejection, queue, retries, membership ----

TEST_CASE("an unreachable runner is ejected and returns on trial") {
    FakeHost host;
    host.fleet(3, 4);
    host.ask();
    const RunnerId bad = host.assigned[0].runner;
    host.end(Outcome::connect_failed, 1000);
    for (int i = 0; i < 8; ++i) host.ask();
    for (std::size_t i = 1; i < host.assigned.size(); ++i) CHECK(host.assigned[i].runner != bad);
    host.pass(5'000'000);
    host.assigned.clear();
    for (int i = 0; i < 12; ++i) host.ask();
    const auto is_bad = [bad](const Assign& a) { return a.runner == bad; };
    CHECK(std::count_if(host.assigned.begin(), host.assigned.end(), is_bad) == 1);
}

TEST_CASE("a runner whose connection breaks is not ejected before a probe has failed too") {
    FakeHost host(settings_with({{"caps.probes", "true"}}), 3);
    host.fleet(2, 4);
    host.ask();
    const RunnerId broke = host.assigned[0].runner;
    host.end(Outcome::reset, 1000);
    CHECK(host.assigned.size() == 2);  // the retry, on the other runner
    for (int i = 0; i < 6; ++i) host.ask();
    CHECK(host.assigned.size() == 5);  // the other runner has four slots; the rest wait for the probe
    CHECK(host.count<Probe>() > 0);
    host.tell(ProbeEnded{broke, Outcome::finished, 1000, {4, 0, 0}});
    CHECK(host.assigned.size() == 8);
    CHECK(host.assigned.back().runner == broke);
    // Once a probe cannot reach it either, it is ejected.
    host.end(Outcome::reset, 1000);
    host.tell(ProbeEnded{broke, Outcome::connect_failed, 1000, {}});
    CHECK(host.count<LogLine>() == 1);
}

TEST_CASE("when half of the fleet looks bad at once, the rest is not ejected") {
    FakeHost host;
    host.fleet(4, 4);
    for (int i = 0; i < 48; ++i) i % 4 ? host.end(Outcome::connect_failed, 1000) : (void)host.ask();
    host.pass(1'200'000);
    host.assigned.clear();
    for (int i = 0; i < 4; ++i) host.ask();
    CHECK(host.assigned.size() == 4);
}

TEST_CASE("a lost idempotent task is retried twice, then bounced with a time to retry after") {
    FakeHost host(settings_with({{"caps.retry_after", "true"}, {"caps.max_retry_after_us", "2000000"}}));
    host.fleet(6, 4);
    host.ask(0);
    for (int i = 0; i < 3; ++i) host.end(Outcome::error, 1000);
    CHECK(host.assigned.size() == 3);
    REQUIRE(host.count<Bounce>() == 1);
    for (const Action& a : host.all)
        if (const auto* b = std::get_if<Bounce>(&a)) CHECK(b->retry_after == 2'000'000);
}

TEST_CASE("nothing is retried under overload") {
    FakeHost host;
    host.fleet(3, 1);
    for (int i = 0; i < 5; ++i) host.ask(0);
    host.pass(1'100'000);
    CHECK(host.count<Bounce>() == 2);
    host.end(Outcome::finished, 1'000'000, 0, {0, 0, 1});
    host.end(Outcome::finished, 1'000'000, 1, {0, 0, 1});
    host.ask(0);
    host.end(Outcome::reset, 1'000);
    CHECK(host.assigned.size() == 4);
    CHECK(host.count<Bounce>() == 3);
}

TEST_CASE("if clients mark retries, a first attempt with a short expiry does not count as old") {
    for (const bool repeat : {false, true}) {
        FakeHost host(settings_with({{"clients.marks_retry", "true"}}));
        host.fleet(2, 4);
        host.ask();
        TaskArrived first_try;
        first_try.task = TaskId{99};
        first_try.expiry = host.now + 600'000;
        first_try.client_retry = repeat;
        host.tell(first_try);
        CHECK(host.assigned.size() == (repeat ? 1 : 2));
        CHECK(host.count<Bounce>() == (repeat ? 1 : 0));
    }
}

TEST_CASE(
    "a late task waits while a late answer has value, takes only spare slots, and is answered before its "
    "expiry") {
    for (const double free : {2.0, 1.0}) {
        FakeHost host(
            settings_with({{"workloads.0.tardy_importance", "0.4"}, {"clients.marks_retry", "true"}}));
        host.fleet(1, 2);
        host.ask(), host.ask();
        TaskArrived late;
        late.task = TaskId{99};
        late.expiry = host.now + 2'500'000;
        late.client_retry = true;
        host.tell(late);
        host.pass(100'000);
        REQUIRE((host.assigned.size() == 2 && host.count<Bounce>() == 0));
        host.end(Outcome::finished);
        if (free > 1) host.end(Outcome::finished, 300'000, 1);
        host.report(1, free, 2 - free);
        host.pass(100'000);
        CHECK(host.assigned.size() == (free > 1 ? 3 : 2));
        const TaskId fresh = host.ask();
        if (free < 2) CHECK(host.assigned.back().task == fresh);
        host.pass(2'400'000);
        CHECK(host.answers[late.task] == (free > 1 ? 0 : 1));
    }
}

TEST_CASE("a late retry gets a slot that is free at once") {
    FakeHost host(settings_with({{"workloads.0.tardy_importance", "0.4"}, {"clients.marks_retry", "true"}}));
    host.fleet(1, 1);
    TaskArrived late;
    late.task = TaskId{99};
    late.expiry = host.now + 2'500'000;
    late.client_retry = true;
    host.tell(late);
    CHECK(host.assigned.size() == 1);
}

TEST_CASE("the most valuable task is dispatched first, and the newest before the oldest") {
    FakeHost host;
    host.fleet(1, 1);
    host.ask(0);
    host.pass(20'000);
    const TaskId older = host.ask(1);
    host.pass(20'000);
    const TaskId newer = host.ask(1);
    host.ask(0);
    host.pass(100'000);
    host.end(Outcome::finished, 100'000, 0, {0, 0, 1});
    CHECK(host.assigned.back().task == newer);
    host.end(Outcome::finished, 100'000, 0, {0, 0, 1});
    CHECK(host.assigned.back().task == older);
}

TEST_CASE("a customer's tasks beyond its allowance wait behind those of others") {
    SettingsMap settings = settings_with({{"customers.count", "2"}});
    settings["customers.0.allowance_per_s"] = settings["customers.1.allowance_per_s"] = "4";
    settings["importance.surplus"] = "0.05";
    FakeHost host(settings);
    host.fleet(1, 1);
    for (int i = 0; i < 9; ++i) host.ask(0, 0);
    host.pass(10'000);
    const TaskId within_allowance = host.ask(0, 1);
    host.pass(10'000);
    for (int i = 0; i < 4; ++i) host.ask(0, 0);
    host.end(Outcome::finished, 100'000, 0, {0, 0, 1});
    CHECK(host.assigned.back().task == within_allowance);
}

TEST_CASE("a list that has to be requested is requested again after each failure, within the limit") {
    FakeHost host(settings_with({{"roster.how", "on_request"}}));
    host.fleet({host.entry(1)}, UpdateScope::cached);
    for (int i = 0; i < 6; ++i) {
        const int requests = host.count<WatchMembership>();
        host.tell(MembershipUpdate{UpdateScope::failed, 0, {}});
        host.pass(4'000'000);
        CHECK(host.count<WatchMembership>() == requests + 1);
    }
    host.tell(MembershipUpdate{UpdateScope::delta, 2, {}});
    const int requests = host.count<WatchMembership>();
    host.pass(20'000'000);
    CHECK(host.count<WatchMembership>() == requests);
}

TEST_CASE("the runner table survives an empty list and a list with absurd entries") {
    FakeHost host;
    host.fleet(3, 2);
    host.fleet(std::vector<EndpointEntry>{});
    CHECK(host.balancer.fractions().empty());
    host.pass(1'500'000);
    EndpointEntry odd = host.entry(4);
    odd.instance_type = InstanceTypeId{4'000'000'000};
    host.fleet({host.entry(1), odd, odd, host.entry(2)});
    CHECK(sum_of(host.balancer.fractions()) == doctest::Approx(1));
    CHECK(host.balancer.fractions().size() == 3);
    host.ask();
    CHECK(host.assigned.size() == 1);
}

// ---- large fleets ----

TEST_CASE(
    "hundreds of dispatchers do not flood a runner in slow start, even if stale reports show only it as "
    "free") {
    for (const bool late : {false, true}) {
        std::map<RunnerId, int> got;
        for (unsigned me = 0; me < 400; ++me) {
            FakeHost host(settings_with({{"dispatchers", "400"}, {"rules.fall_multiple", "40"}}), me + 1);
            auto list = host.entries(20);
            list[0].started_at = host.now;
            host.fleet(list);
            for (unsigned id = 1; id <= 20; ++id)
                host.report(id, late && id > 1 ? 0 : 2, late && id > 1 ? 9 : 0);
            host.ask();
            for (const Assign& a : host.assigned) ++got[a.runner];
        }
        CHECK(got[RunnerId{1}] <= 12);
        for (unsigned id = 2; id <= 20; ++id)
            CHECK((got[RunnerId{id}] <= 45 && (late || got[RunnerId{id}] > 5)));
    }
}

TEST_CASE("a hundred dispatchers with queued tasks together keep the budget of a runner in slow start") {
    constexpr unsigned kAll = 100;
    const Micros start = 10'000'000, step = 40'000, work = 700'000;
    std::vector<std::unique_ptr<FakeHost>> all;
    for (unsigned me = 0; me < kAll; ++me) {
        all.push_back(std::make_unique<FakeHost>(settings_with({{"dispatchers", "100"},
                                                                {"me", std::to_string(me)},
                                                                {"caps.probes", "true"},
                                                                {"rules.cold_from", "0.32"},
                                                                {"rules.warm_after_us", "9000000"},
                                                                {"rules.fall_multiple", "2.5"},
                                                                {"rules.tip_after_us", "1000000"},
                                                                {"workloads.0.due_time_us", "700000"}}),
                                                 me + 1));
        auto list = FakeHost::entries(2);
        list[1].started_at = start;
        all.back()->fleet(list);
        all.back()->report(1, 0, 3);
    }
    // Emulates the runner: three slots, a speed that rises during slow start, reports without delay.
    std::vector<std::pair<unsigned, double>> runs;  // dispatcher and remaining work
    std::vector<Micros> sends;
    double max_part = 0;
    for (Micros age = 0; age < 8'000'000; age += step) {
        const double factor = 0.32 + 0.68 * static_cast<double>(age) / 9e6;
        for (auto& run : runs) run.second -= factor * static_cast<double>(step);
        const auto in_flight = [&] { return static_cast<double>(runs.size()); };
        for (std::size_t n = runs.size(); n-- > 0;) {
            if (runs[n].second > 0) continue;
            FakeHost& host = *all[runs[n].first];
            runs.erase(runs.begin() + static_cast<std::ptrdiff_t>(n));
            host.end(Outcome::finished, work, 0, {3 - in_flight(), 0, in_flight()});
        }
        for (unsigned me = 0; me < kAll; ++me) {
            FakeHost& host = *all[me];
            host.now = start + age;
            const std::size_t before = host.assigned.size();
            host.report(2, std::max(0.0, 3 - in_flight()), in_flight());
            if ((age / step + me) % 10 == 0) host.ask();
            host.pass(0);
            for (std::size_t n = before; n < host.assigned.size(); ++n)
                runs.emplace_back(me, static_cast<double>(work)), sends.push_back(age);
        }
        double sent = 0;
        for (const Micros at : sends) sent += at > age - 1'000'000 ? static_cast<double>(work) : 0;
        max_part = std::max(max_part, sent / (2.5 * 3e6 * factor));
    }
    MESSAGE(sends.size(), " tasks sent in 8 s, at most ", max_part, " of what a second allows");
    CHECK(max_part <= 1);
    // The runner can finish about 23 of them in that time. With a single order for the whole slow start,
    // instead of one for each window, it got next to none.
    CHECK(sends.size() >= 12);
}

TEST_CASE(
    "one failure that loses its task ejects a runner if its next task would come late, not if it comes "
    "soon") {
    for (const bool large : {false, true}) {
        FakeHost host;
        host.fleet(large ? 60 : 2, 1);
        host.ask(2);
        const RunnerId failing = host.assigned.back().runner;
        host.end(Outcome::error, 20'000);
        host.pass(5'000'000);
        const auto views = host.balancer.runners();
        const auto view = std::find_if(views.begin(), views.end(),
                                       [&](const RunnerView& v) { return v.runner == failing; });
        CHECK((view->ejected_until > host.now) == large);
    }
}

// The settings of one of several dispatchers, with runners that report no load but report when a task begins.
static SettingsMap settings_without_reports(int dispatchers, int me = 0, SettingsMap more = {}) {
    SettingsMap settings = settings_with({{"trade.tells_start", "true"}, {"reports.names", ""}});
    settings["dispatchers"] = std::to_string(dispatchers), settings["me"] = std::to_string(me);
    for (const auto& [name, value] : more) settings[name] = value;
    return settings;
}

TEST_CASE("a task that waits at a runner stays there, and is answered once it can no longer finish in time") {
    for (const char* stretch : {"1", "2"}) {  // due after 1 s, expiry 5 s: must begin within 1 s or 3 s
        FakeHost host(settings_without_reports(2, 0, {{"workloads.0.aim_stretch", stretch}}));
        host.fleet(3, 2);
        const TaskId task = host.ask();
        host.pass(stretch[0] == '1' ? 900'000 : 2'900'000);
        CHECK(host.count<Withdraw>() == 0);
        CHECK(host.answers[task] == 0);
        host.pass(200'000);
        CHECK(host.answers[task] == 1);
        CHECK(host.assigned.size() == 1);
    }
}

TEST_CASE("without reports, each runner is near to two dispatchers, by weight") {
    std::map<RunnerId, int> first, all;
    for (int me = 0; me < 20; ++me) {
        FakeHost host(settings_without_reports(20, me));
        std::vector<EndpointEntry> entries = FakeHost::entries(20);
        for (EndpointEntry& e : entries) e.weight = static_cast<unsigned>(e.runner) % 2 ? 0.7 : 1.3;
        host.fleet(std::move(entries));
        for (int i = 0; i < 2; ++i) host.ask();
        for (const Assign& a : host.assigned) ++all[a.runner];
        REQUIRE(host.assigned.size() == 2);
        CHECK(host.assigned[0].runner != host.assigned[1].runner);
    }
    CHECK(all.size() == 20);
    for (const auto& [runner, n] : all) CHECK(n <= 3);
}

TEST_CASE("the first fractions follow the weights in the list") {
    FakeHost host(settings_without_reports(2));
    std::vector<EndpointEntry> entries = FakeHost::entries(2);
    entries[0].weight = 3;
    host.fleet(std::move(entries));
    CHECK(host.balancer.fractions().at(RunnerId{1}) == doctest::Approx(0.75));
}

TEST_CASE("if tasks wait at far runners, hardly any more are sent there") {
    for (const bool waits : {true, false}) {
        FakeHost host(settings_without_reports(10));
        host.fleet(FakeHost::entries(10));
        for (int batch = 0; batch < 5; ++batch) {
            host.assigned.clear();
            for (int i = 0; i < 8; ++i) host.ask();
            if (waits) host.pass(400'000);
            const int out = static_cast<int>(host.assigned.size());
            for (const Assign& a : host.assigned) host.tell(Progress{a.task, 0, a.runner, 0, Stage::begun});
            if (!waits) host.pass(400'000);
            for (int back = 0; back < out; ++back) host.end(Outcome::finished, 400'000, back);
            host.pass(1'000'000);
        }
        host.assigned.clear();
        for (int i = 0; i < 12; ++i) host.ask();
        CHECK((host.assigned.size() <= 4) == waits);
    }
}

TEST_CASE("dispatchers that have a runner in slow start near keep its budget together") {
    int all_sent = 0;
    for (int me = 0; me < 10; ++me) {
        FakeHost host(settings_without_reports(10, me,
                                               {{"rules.fall_multiple", "4"},
                                                {"rules.tip_after_us", "1500000"},
                                                {"rules.cold_from", "0.4"},
                                                {"workloads.0.due_time_us", "300000"}}));
        std::vector<EndpointEntry> entries = FakeHost::entries(10);
        entries[4].started_at = host.now - 1;
        host.fleet(std::move(entries));
        for (int i = 0; i < 30; ++i) host.ask();
        int sent = 0;
        for (const Assign& a : host.assigned) sent += a.runner == RunnerId{5};
        all_sent += sent;
    }
    CHECK(all_sent >= 1);
    CHECK(all_sent * 0.3 <= 4 * 0.4 * 1.5);  // seconds of work within the window
}

TEST_CASE("with more dispatchers than slots, those near a runner in slow start still keep its budget") {
    double sent = 0;  // seconds of work, to a started runner, in less than one window
    for (int me = 0; me < 40; ++me) {
        FakeHost host(settings_without_reports(40, me,
                                               {{"rules.fall_multiple", "4"},
                                                {"rules.tip_after_us", "1500000"},
                                                {"rules.cold_from", "0.4"},
                                                {"workloads.0.due_time_us", "500000"}}));
        std::vector<EndpointEntry> entries = FakeHost::entries(4);  // ten dispatchers per runner
        entries[1].started_at = host.now - 1;
        host.fleet(std::move(entries));
        for (int i = 0; i < 10; ++i) host.ask();
        for (const Assign& a : host.assigned) sent += a.runner == RunnerId{2} ? 0.5 : 0;
    }
    CHECK(sent <= 4 * 0.4 * 1.5);
}

TEST_CASE("runners with a weight of zero are still used") {
    FakeHost host(settings_without_reports(2));
    std::vector<EndpointEntry> entries = FakeHost::entries(4);
    for (EndpointEntry& e : entries) e.weight = 0;
    host.fleet(std::move(entries));
    CHECK(sum_of(host.balancer.fractions()) == doctest::Approx(1));
}

TEST_CASE("an extra slot that did not exist is not tried again soon") {
    FakeHost host(settings_without_reports(2));
    host.fleet(FakeHost::entries(1));
    host.ask();
    host.tell(Progress{TaskId{1}, 0, RunnerId{1}, 0, Stage::begun});
    host.ask();
    REQUIRE(host.assigned.size() == 2);  // one extra slot is tried
    host.pass(800'000);
    host.tell(Progress{TaskId{2}, 0, RunnerId{1}, 0, Stage::begun});
    host.end(Outcome::finished, 800'000), host.end(Outcome::finished, 800'000, 1);
    host.assigned.clear();
    for (int i = 0; i < 5; ++i) host.pass(1'000'000), host.ask(), host.ask();
    CHECK(host.assigned.size() == 1);
}

TEST_CASE("new settings with another number of dispatchers change which runners are near") {
    FakeHost updated(settings_without_reports(10)), from_start(settings_without_reports(10, 5));
    std::set<RunnerId> near, expected;
    updated.fleet(FakeHost::entries(10));
    from_start.fleet(FakeHost::entries(10));
    updated.tell(
        SettingsChanged{settings_without_reports(10, 5), {WorkloadId{0}, WorkloadId{1}, WorkloadId{2}}});
    for (int i = 0; i < 2; ++i) updated.ask(), from_start.ask();
    for (const Assign& a : updated.assigned) near.insert(a.runner);
    for (const Assign& a : from_start.assigned) expected.insert(a.runner);
    CHECK(near.size() == 2);
    CHECK(near == expected);
}

TEST_CASE("hundreds of dispatchers close connections that they rarely use, a few keep them") {
    for (const bool many : {true, false}) {
        FakeHost host(
            settings_with({{"dispatchers", many ? "900" : "3"}, {"caps.keepalive_us", "60000000"}}));
        host.fleet(200, 2);
        for (int i = 0; i < 3; ++i, host.pass(1'000'000))
            host.ask(), host.pass(100'000), host.end(Outcome::finished);
        CHECK((host.count<CloseIdle>() > 0) == many);
    }
}

TEST_CASE("a runner without samples gets the estimate of its instance type") {
    FakeHost host;
    auto list = host.entries(4);
    list[1].instance_type = list[3].instance_type = InstanceTypeId{1};
    host.fleet(list);
    for (int i = 0; i < 60; ++i) {
        for (unsigned id : {3u, 4u}) host.report(id, 0, 9);
        host.ask();
        const bool slow = host.assigned.back().runner == RunnerId{2};
        host.pass(100'000);
        host.end(Outcome::finished, slow ? 800'000 : 100'000);
    }
    CHECK(host.balancer.fractions().at(RunnerId{4}) < 0.5 * host.balancer.fractions().at(RunnerId{3}));
}

TEST_CASE("a runner with a stale report is probed first, less often the longer the task waits") {
    FakeHost host(settings_with({{"caps.probes", "true"}}));
    host.fleet({host.entry(1)});
    host.ask();
    std::vector<int> probes{0};
    for (int span = 0; span < 2; ++span) {
        for (int i = 0, answered = 0; i < 200; ++i, host.pass(2'000))
            if (host.count<Probe>() > answered) answered = host.count<Probe>(), host.report(1, 0, 4);
        probes.push_back(host.count<Probe>());
    }
    CHECK(probes[2] > probes[1]);
    CHECK(probes[2] < 2 * probes[1]);
    CHECK(host.assigned.empty());
    host.report(1, 4, 0);
    CHECK(host.assigned.size() == 1);
}

TEST_CASE(
    "events about unknown tasks and runners are ignored; a disconnected client's task is withdrawn, "
    "unanswered") {
    FakeHost host;
    host.fleet(1, 1);
    host.ask();
    host.tell(AssignmentEnded{TaskId{99}, true, 0, 1, RunnerId{1}, 0, Outcome::finished, {}});
    host.tell(AssignmentEnded{TaskId{1}, true, 0, 1, RunnerId{77}, 0, Outcome::finished, {}});
    host.tell(AssignmentEnded{TaskId{1}, true, 0, 1, RunnerId{1}, 9, Outcome::finished, {}});
    host.tell(ClientDisconnected{TaskId{99}});
    host.tell(ProbeEnded{RunnerId{77}, Outcome::finished, 1, {}});
    host.tell(Progress{TaskId{99}, std::nan(""), RunnerId{77}, 0, Stage::progress});
    host.tell(ClientDisconnected{TaskId{1}});
    CHECK(host.count<Withdraw>() == 1);
    for (int i = 0; i < 2; ++i) host.end(Outcome::withdrawn);
    CHECK(host.answers.empty());
}

TEST_CASE("a malformed setting is refused with its name; a missing effect gets the safe default") {
    CHECK_THROWS_WITH_AS(FakeHost(settings_with({{"rules.fall_multiple", "four"}})),
                         doctest::Contains("rules.fall_multiple"), std::runtime_error);
    CHECK_THROWS_AS(FakeHost(settings_with({{"caps.probes", "maybe"}})), std::runtime_error);
    SettingsMap settings = plain_orders();
    settings.erase("workloads.0.effect");
    FakeHost host(settings);
    host.fleet(2, 2);
    host.ask(0);
    host.end(Outcome::error);
    CHECK(host.count<Abandon>() == 1);
}

// Runners that report only with answers, and whose report does not count the task that has just ended.
TEST_CASE("a report that comes with an end and no longer counts that task still yields the runner's slots") {
    FakeHost host;
    host.fleet(FakeHost::entries(1));
    for (int i = 0; i < 40; ++i) {
        host.ask();
        host.pass(20'000);
        host.end(Outcome::finished, 5'000, 0, {4, 0, 0});
    }
    const auto before = host.assigned.size();
    for (int i = 0; i < 4; ++i) host.ask();
    CHECK(host.assigned.size() == before + 4);
}

TEST_CASE("without reports, learning the slots takes a number of answers, not of seconds") {
    SettingsMap settings = plain_orders();
    settings.erase("reports.names");
    FakeHost host(settings);
    host.fleet(FakeHost::entries(1));
    for (int i = 0; i < 30; ++i) host.ask();
    const Micros began = host.now;
    std::size_t ended = 0;
    for (int i = 0; i < 12; ++i) {  // twelve round trips of 5 ms, all equally fast
        const std::size_t out = host.assigned.size();
        host.pass(5'000);
        for (; ended < out; ++ended)
            host.end(Outcome::finished, 5'000, static_cast<int>(host.assigned.size() - 1 - ended));
    }
    CHECK(host.now - began < 100'000);
    CHECK(host.assigned.size() == 30);
}

TEST_CASE(
    "if only draining is binding, a runner listed as gone is used while it answers, and a drained one not "
    "until "
    "it restarts") {
    SettingsMap settings = plain_orders();
    settings["rules.only_draining_binds"] = "true";
    FakeHost host(settings);
    const auto sent_to = [&](unsigned id) {
        for (int i = 0; i < 60; ++i) {
            host.ask();
            const RunnerId to = host.assigned.back().runner;
            host.end(Outcome::finished, 300'000, 0, {9, 0, 0});
            if (to == RunnerId{id}) return true;
        }
        return false;
    };
    host.fleet(3, 9);
    host.fleet({FakeHost::entry(1)});  // a wrong list that omits two live runners
    CHECK(sent_to(2));
    host.fleet({FakeHost::entry(3, RunnerState::gone)}, UpdateScope::delta);
    CHECK(sent_to(3));
    host.fleet({FakeHost::entry(2, RunnerState::draining)}, UpdateScope::delta);
    CHECK_FALSE(sent_to(2));
    host.fleet({FakeHost::entry(1)});
    CHECK_FALSE(sent_to(2));  // missing after its drain
    host.fleet(FakeHost::entries(3));
    CHECK_FALSE(sent_to(2));  // an outdated list
    EndpointEntry again = FakeHost::entry(2);
    again.started_at = host.now;
    host.fleet({again}, UpdateScope::delta);
    host.report(2, 9, 0);
    host.pass(40'000'000);
    CHECK(sent_to(2));
    // A runner listed as gone is dropped on its own failure, without a trial.
    host.fleet({FakeHost::entry(3, RunnerState::gone)}, UpdateScope::delta);
    host.report(1, 0, 9), host.report(2, 0, 9);  // the others are full
    host.ask();
    CHECK(host.assigned.back().runner == RunnerId{3});
    host.end(Outcome::connect_failed);
    host.report(1, 9, 0);
    host.pass(6'000'000);
    CHECK_FALSE(sent_to(3));
    settings["rules.only_draining_binds"] = "perhaps";
    CHECK_THROWS_WITH(Balancer(settings, 1),
                      "standing order rules.only_draining_binds is neither true nor false: perhaps");
}

TEST_CASE(
    "a large fleet spreads its first requests for the list and backs off longer after each failure; a small "
    "one "
    "requests it at once") {
    // The times, from the start, of a dispatcher's first request and of those after consecutive failures.
    const auto request_times = [](int dispatchers, std::uint64_t seed) {
        SettingsMap settings = plain_orders();
        settings["roster.how"] = "on_request", settings["rules.must_ask_in_us"] = "10000000";
        settings["dispatchers"] = std::to_string(dispatchers);
        FakeHost host(settings, seed);
        const Micros from = host.now;
        host.fleet(FakeHost::entries(4), UpdateScope::cached);
        std::vector<Micros> at;
        for (int i = 0; i < 20'000 && at.size() < 7; ++i) {
            if (host.count<WatchMembership>() > static_cast<int>(at.size())) {
                at.push_back(host.now - from);
                host.tell(MembershipUpdate{UpdateScope::failed, 0, {}});
            }
            host.pass(20'000);
        }
        REQUIRE(at.size() == 7);
        return at;
    };
    CHECK(request_times(3, 1).front() == 0);
    CHECK(request_times(3, 1).back() - request_times(3, 1)[5] <= 3'800'000);
    std::set<Micros> first;
    Micros longest = 0;
    for (std::uint64_t seed = 1; seed <= 48; ++seed) {
        const auto at = request_times(48, seed);
        first.insert(at.front() / 100'000);
        CHECK(at.front() <= 2'500'000);
        CHECK(at[1] - at[0] >= 1'250'000);
        longest = std::max(longest, at.back() - at[5]);
    }
    CHECK(first.size() >= 16);  // tenths of a second
    CHECK(longest > 10'000'000);
}
