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

// Runner 1 takes 100 ms a task, all others 400 ms.
void work_through(FakeHost& host, int tasks) {
    for (int i = 0; i < tasks; ++i) {
        host.ask();
        const bool quick = host.assigned.back().runner == RunnerId{1};
        host.pass(100'000);
        host.end(Outcome::finished, quick ? 100'000 : 400'000, 0, {2, 0, 1});
    }
}

SettingsMap orders_with(const SettingsMap& others) {
    SettingsMap orders = plain_orders();
    for (const auto& [name, value] : others) orders[name] = value;
    return orders;
}

}  // namespace

// ---- the four rules ----

TEST_CASE("rule 1: a task that finds no runner gets one answer before its expiry, and nothing after") {
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

TEST_CASE(
    "rule 2: side-effecting work goes out again only if it is proved not to have run, else it is abandoned") {
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

TEST_CASE("rule 2: fingerprinted work that may have run stays in its group and its window, or is abandoned") {
    for (const bool in_window : {true, false}) {
        FakeHost host(orders_with({{"workloads.1.window_us", in_window ? "4000000" : "200000"}}));
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

TEST_CASE("rule 3: draining, gone or missing from a complete list ends all sending") {
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

TEST_CASE("rule 4: a cold runner gets a part of its budget, however much room it reports") {
    const SettingsMap orders = orders_with({{"rules.cold_from", "0.1"},
                                            {"rules.warm_after_us", "20000000"},
                                            {"rules.fall_multiple", "4"},
                                            {"rules.tip_after_us", "2000000"},
                                            {"dispatchers", "4"}});
    FakeHost host(orders);
    EndpointEntry started = host.entry(1);
    started.started_at = host.now;
    host.fleet({started});
    for (int i = 0; i < 20; ++i, host.pass(50'000)) {
        host.report(1, 50, static_cast<double>(host.assigned.size()));
        host.ask();
    }
    CHECK(host.assigned.size() >= 1);
    // 0.1 to 0.15 of some 55 slots for 2 s, four times over, is 44 to 66 s of work of 1 s; an eighth is ours.
    CHECK(host.assigned.size() <= 8);
}

// ---- the design ----

TEST_CASE("fractions start equal, sum to one, and move toward the faster runner") {
    FakeHost host;
    host.fleet(4, 2);
    for (const auto& [id, f] : host.balancer.fractions()) CHECK(f == doctest::Approx(0.25));
    work_through(host, 150);
    const auto fractions = host.balancer.fractions();
    CHECK(sum_of(fractions) == doctest::Approx(1));
    CHECK(fractions.at(RunnerId{1}) > 0.4);
}

TEST_CASE("a new runner starts at the mean fraction, a draining one at none") {
    FakeHost host;
    host.fleet(4, 2);
    work_through(host, 100);
    host.fleet({host.entry(5)}, UpdateScope::delta);
    CHECK(host.balancer.fractions().at(RunnerId{5}) == doctest::Approx(0.2));
    CHECK(sum_of(host.balancer.fractions()) == doctest::Approx(1));
    host.fleet({host.entry(1, RunnerState::draining)}, UpdateScope::delta);
    CHECK(sum_of(host.balancer.fractions()) == doctest::Approx(1));
}

TEST_CASE("the same seed and events give the same picks, another seed others") {
    FakeHost a, b, c(plain_orders(), 2);
    for (FakeHost* host : {&a, &b, &c}) {
        host->fleet(6, 9);
        for (int i = 0; i < 40; ++i) host->ask();
    }
    const auto same = [](const Assign& x, const Assign& y) { return x.runner == y.runner; };
    CHECK(std::equal(a.assigned.begin(), a.assigned.end(), b.assigned.begin(), same));
    CHECK(!std::equal(a.assigned.begin(), a.assigned.end(), c.assigned.begin(), same));
}

TEST_CASE("failing fast never looks like being fast") {
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

// ---- room ----

TEST_CASE("an assignment whose connection fell silent neither blinds nor fills its runner") {
    FakeHost host(orders_with({{"caps.probes", "true"}}));
    host.fleet(1, 2);
    host.ask();  // the runner is done with it, but that never came
    host.pass(300'000);
    for (int i = 0; i < 12; ++i, host.pass(150'000)) {
        host.report(1, 2, 0);
        const std::size_t before = host.assigned.size();
        host.ask(), host.ask();
        REQUIRE(host.assigned.size() == before + 2);  // both slots, on what was just told
        host.end(Outcome::finished, 100'000, 0, {1, 0, 1});
        host.end(Outcome::finished, 100'000, 1, {2, 0, 0});
    }
}

TEST_CASE("a report that cannot be is not heard") {
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

TEST_CASE("without reports of what is held, slots are learnt from what ends without a wait") {
    FakeHost host(orders_with({{"reports.names", ""}}));
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

TEST_CASE("near runners are drawn first while their room is known, far ones when none has any") {
    for (const bool known : {true, false}) {
        FakeHost host(
            orders_with({{"zone", "1"}, {"reports.names", known ? "free_slots,waiting,held" : ""}}));
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

// ---- health, holding, further assignments, roster ----

TEST_CASE("a runner out of reach is set aside and comes back on trial") {
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

TEST_CASE("a connection that breaks does not cost its runner the fleet's trust before a probe has told") {
    FakeHost host(orders_with({{"caps.probes", "true"}}), 3);
    host.fleet(2, 4);
    host.ask();
    const RunnerId broke = host.assigned[0].runner;
    host.end(Outcome::reset, 1000);
    CHECK(host.assigned.size() == 2);  // to the other one
    for (int i = 0; i < 6; ++i) host.ask();
    CHECK(host.assigned.size() == 5);  // which has room for four; the rest wait for the probe
    CHECK(host.count<Probe>() > 0);
    host.tell(ProbeEnded{broke, Outcome::finished, 1000, {4, 0, 0}});
    CHECK(host.assigned.size() == 8);
    CHECK(host.assigned.back().runner == broke);
    // Once the probe cannot reach it either, it is out.
    host.end(Outcome::reset, 1000);
    host.tell(ProbeEnded{broke, Outcome::connect_failed, 1000, {}});
    CHECK(host.count<LogLine>() == 1);
}

TEST_CASE("when half the fleet looks bad at once, the rest is not set aside too") {
    FakeHost host;
    host.fleet(4, 4);
    for (int i = 0; i < 48; ++i) i % 4 ? host.end(Outcome::connect_failed, 1000) : (void)host.ask();
    host.pass(1'200'000);
    host.assigned.clear();
    for (int i = 0; i < 4; ++i) host.ask();
    CHECK(host.assigned.size() == 4);
}

TEST_CASE("idempotent work that was lost goes out twice more, then is bounced with word when to come back") {
    FakeHost host(orders_with({{"caps.retry_after", "true"}, {"caps.max_retry_after_us", "2000000"}}));
    host.fleet(6, 4);
    host.ask(0);
    for (int i = 0; i < 3; ++i) host.end(Outcome::error, 1000);
    CHECK(host.assigned.size() == 3);
    REQUIRE(host.count<Bounce>() == 1);
    for (const Action& a : host.all)
        if (const auto* b = std::get_if<Bounce>(&a)) CHECK(b->retry_after == 2'000'000);
}

TEST_CASE("while overload is seen nothing is assigned a second time") {
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

TEST_CASE("a first try of an impatient client is not taken for an old one, where repeats are marked") {
    for (const bool repeat : {false, true}) {
        FakeHost host(orders_with({{"clients.marks_retry", "true"}}));
        host.fleet(2, 4);
        host.ask();
        TaskArrived hasty;
        hasty.task = TaskId{99};
        hasty.expiry = host.now + 600'000;
        hasty.client_retry = repeat;
        host.tell(hasty);
        CHECK(host.assigned.size() == (repeat ? 1 : 2));
        CHECK(host.count<Bounce>() == (repeat ? 1 : 0));
    }
}

TEST_CASE(
    "what comes too late waits while a late answer earns, takes only what others leave, and is answered in "
    "time") {
    for (const double free : {2.0, 1.0}) {
        FakeHost host(
            orders_with({{"workloads.0.tardy_importance", "0.4"}, {"clients.marks_retry", "true"}}));
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

TEST_CASE("an early repeat in overload has the slot that is free now at once") {
    FakeHost host(orders_with({{"workloads.0.tardy_importance", "0.4"}, {"clients.marks_retry", "true"}}));
    host.fleet(1, 1);
    TaskArrived late;
    late.task = TaskId{99};
    late.expiry = host.now + 2'500'000;
    late.client_retry = true;
    host.tell(late);
    CHECK(host.assigned.size() == 1);
}

TEST_CASE("what is worth most goes out first, the newest before the oldest") {
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

TEST_CASE("one customer's surge waits behind what the others may ask for") {
    SettingsMap orders = orders_with({{"customers.count", "2"}});
    orders["customers.0.allowance_per_s"] = orders["customers.1.allowance_per_s"] = "4";
    orders["importance.surplus"] = "0.05";
    FakeHost host(orders);
    host.fleet(1, 1);
    for (int i = 0; i < 9; ++i) host.ask(0, 0);
    host.pass(10'000);
    const TaskId modest = host.ask(0, 1);
    host.pass(10'000);
    for (int i = 0; i < 4; ++i) host.ask(0, 0);
    host.end(Outcome::finished, 100'000, 0, {0, 0, 1});
    CHECK(host.assigned.back().task == modest);
}

TEST_CASE("where the roster must be asked it is, again after failures, with room left in the rule") {
    FakeHost host(orders_with({{"roster.how", "on_request"}}));
    host.fleet({host.entry(1)}, UpdateScope::cached);
    for (int i = 0; i < 6; ++i) {
        const int asked = host.count<WatchMembership>();
        host.tell(MembershipUpdate{UpdateScope::failed, 0, {}});
        host.pass(4'000'000);
        CHECK(host.count<WatchMembership>() == asked + 1);
    }
    host.tell(MembershipUpdate{UpdateScope::delta, 2, {}});
    const int asked = host.count<WatchMembership>();
    host.pass(20'000'000);
    CHECK(host.count<WatchMembership>() == asked);
}

TEST_CASE("a roster that empties and comes back, or names what cannot be, leaves a working table") {
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

// ---- at size ----

TEST_CASE(
    "hundreds spread over the fleet and spare a cold runner, also if late reports show it alone as free") {
    for (const bool late : {false, true}) {
        std::map<RunnerId, int> got;
        for (unsigned me = 0; me < 400; ++me) {
            FakeHost host(orders_with({{"dispatchers", "400"}, {"rules.fall_multiple", "40"}}), me + 1);
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

TEST_CASE("a hundred with tasks waiting feed a cold runner together, in no second more than it may be sent") {
    constexpr unsigned kAll = 100;
    const Micros start = 10'000'000, step = 40'000, work = 700'000;
    std::vector<std::unique_ptr<FakeHost>> all;
    for (unsigned me = 0; me < kAll; ++me) {
        all.push_back(std::make_unique<FakeHost>(orders_with({{"dispatchers", "100"},
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
    // What the runner does: three slots, at its warmth's speed; reports tell at once.
    std::vector<std::pair<unsigned, double>> runs;  // who sent it, work left
    std::vector<Micros> sends;
    double most = 0;
    for (Micros age = 0; age < 8'000'000; age += step) {
        const double warmth = 0.32 + 0.68 * static_cast<double>(age) / 9e6;
        for (auto& run : runs) run.second -= warmth * static_cast<double>(step);
        const auto held = [&] { return static_cast<double>(runs.size()); };
        for (std::size_t n = runs.size(); n-- > 0;) {
            if (runs[n].second > 0) continue;
            FakeHost& host = *all[runs[n].first];
            runs.erase(runs.begin() + static_cast<std::ptrdiff_t>(n));
            host.end(Outcome::finished, work, 0, {3 - held(), 0, held()});
        }
        for (unsigned me = 0; me < kAll; ++me) {
            FakeHost& host = *all[me];
            host.now = start + age;
            const std::size_t before = host.assigned.size();
            host.report(2, std::max(0.0, 3 - held()), held());
            if ((age / step + me) % 10 == 0) host.ask();
            host.pass(0);
            for (std::size_t n = before; n < host.assigned.size(); ++n)
                runs.emplace_back(me, static_cast<double>(work)), sends.push_back(age);
        }
        double sent = 0;
        for (const Micros at : sends) sent += at > age - 1'000'000 ? static_cast<double>(work) : 0;
        most = std::max(most, sent / (2.5 * 3e6 * warmth));
    }
    MESSAGE(sends.size(), " tasks sent in 8 s, at most ", most, " of what a second allows");
    CHECK(most <= 1);
    // It could end some 23 of them in that time; one lot a start for each dispatcher gave it next to none.
    CHECK(sends.size() >= 12);
}

TEST_CASE("one failure that loses its task is enough where the next try is far away, not where it is near") {
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

// One of several dispatchers where runners report nothing and tell when a task begins.
static SettingsMap silent_orders(int dispatchers, int me = 0, SettingsMap more = {}) {
    SettingsMap orders = orders_with({{"trade.tells_start", "true"}, {"reports.names", ""}});
    orders["dispatchers"] = std::to_string(dispatchers), orders["me"] = std::to_string(me);
    for (const auto& [name, value] : more) orders[name] = value;
    return orders;
}

TEST_CASE("what waits at a runner stays there, and is answered once no length of it would end it in time") {
    for (const char* stretch :
         {"1", "2"}) {  // due after 1 s, given up after 5 s: hopeless after 1 s, or after 3
        FakeHost host(silent_orders(2, 0, {{"workloads.0.aim_stretch", stretch}}));
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

TEST_CASE("where only own sendings tell, each runner is near to two dispatchers, sizes counted") {
    std::map<RunnerId, int> first, all;
    for (int me = 0; me < 20; ++me) {
        FakeHost host(silent_orders(20, me));
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

TEST_CASE("the first fractions follow the sizes that the list names") {
    FakeHost host(silent_orders(2));
    std::vector<EndpointEntry> entries = FakeHost::entries(2);
    entries[0].weight = 3;
    host.fleet(std::move(entries));
    CHECK(host.balancer.fractions().at(RunnerId{1}) == doctest::Approx(0.75));
}

TEST_CASE("where what is sent beyond the own part waits there, hardly any more is") {
    for (const bool waits : {true, false}) {
        FakeHost host(silent_orders(10));
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

TEST_CASE("a cold runner is sent to by those who have it near, all together within the rule's budget") {
    int all_sent = 0;
    for (int me = 0; me < 10; ++me) {
        FakeHost host(silent_orders(10, me,
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
    CHECK(all_sent * 0.3 <= 4 * 0.4 * 1.5);  // seconds of work, in the rule's window
}

TEST_CASE(
    "with more dispatchers than a runner has slots, all who have a cold one near still keep its budget") {
    double sent = 0;  // seconds of work, to a runner just started, in less than the rule's window
    for (int me = 0; me < 40; ++me) {
        FakeHost host(silent_orders(40, me,
                                    {{"rules.fall_multiple", "4"},
                                     {"rules.tip_after_us", "1500000"},
                                     {"rules.cold_from", "0.4"},
                                     {"workloads.0.due_time_us", "500000"}}));
        std::vector<EndpointEntry> entries = FakeHost::entries(4);  // ten to a runner
        entries[1].started_at = host.now - 1;
        host.fleet(std::move(entries));
        for (int i = 0; i < 10; ++i) host.ask();
        for (const Assign& a : host.assigned) sent += a.runner == RunnerId{2} ? 0.5 : 0;
    }
    CHECK(sent <= 4 * 0.4 * 1.5);
}

TEST_CASE("a list that names sizes of nothing still has its runners drawn") {
    FakeHost host(silent_orders(2));
    std::vector<EndpointEntry> entries = FakeHost::entries(4);
    for (EndpointEntry& e : entries) e.weight = 0;
    host.fleet(std::move(entries));
    CHECK(sum_of(host.balancer.fractions()) == doctest::Approx(1));
}

TEST_CASE("a further slot that had to wait is not tried again for long") {
    FakeHost host(silent_orders(2));
    host.fleet(FakeHost::entries(1));
    host.ask();
    host.tell(Progress{TaskId{1}, 0, RunnerId{1}, 0, Stage::begun});
    host.ask();
    REQUIRE(host.assigned.size() == 2);  // one more is tried
    host.pass(800'000);
    host.tell(Progress{TaskId{2}, 0, RunnerId{1}, 0, Stage::begun});
    host.end(Outcome::finished, 800'000), host.end(Outcome::finished, 800'000, 1);
    host.assigned.clear();
    for (int i = 0; i < 5; ++i) host.pass(1'000'000), host.ask(), host.ask();
    CHECK(host.assigned.size() == 1);
}

TEST_CASE("orders restated with another number of dispatchers settle anew who is near") {
    FakeHost restated(silent_orders(10)), from_start(silent_orders(10, 5));
    std::set<RunnerId> near, expected;
    restated.fleet(FakeHost::entries(10));
    from_start.fleet(FakeHost::entries(10));
    restated.tell(SettingsChanged{silent_orders(10, 5), {WorkloadId{0}, WorkloadId{1}, WorkloadId{2}}});
    for (int i = 0; i < 2; ++i) restated.ask(), from_start.ask();
    for (const Assign& a : restated.assigned) near.insert(a.runner);
    for (const Assign& a : from_start.assigned) expected.insert(a.runner);
    CHECK(near.size() == 2);
    CHECK(near == expected);
}

TEST_CASE("hundreds close a connection that they will hardly use again, a few keep it") {
    for (const bool many : {true, false}) {
        FakeHost host(orders_with({{"dispatchers", many ? "900" : "3"}, {"caps.keepalive_us", "60000000"}}));
        host.fleet(200, 2);
        for (int i = 0; i < 3; ++i, host.pass(1'000'000))
            host.ask(), host.pass(100'000), host.end(Outcome::finished);
        CHECK((host.count<CloseIdle>() > 0) == many);
    }
}

TEST_CASE("a runner never tried is judged by its kind") {
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

TEST_CASE("on old news a runner is asked before work goes to it, the less often the longer that waits") {
    FakeHost host(orders_with({{"caps.probes", "true"}}));
    host.fleet({host.entry(1)});
    host.ask();
    std::vector<int> asked{0};
    for (int span = 0; span < 2; ++span) {
        for (int i = 0, answered = 0; i < 200; ++i, host.pass(2'000))
            if (host.count<Probe>() > answered) answered = host.count<Probe>(), host.report(1, 0, 4);
        asked.push_back(host.count<Probe>());
    }
    CHECK(asked[2] > asked[1]);
    CHECK(asked[2] < 2 * asked[1]);
    CHECK(host.assigned.empty());
    host.report(1, 4, 0);
    CHECK(host.assigned.size() == 1);
}

TEST_CASE(
    "events about what is not known are passed over; a client that left has its work withdrawn, unanswered") {
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

TEST_CASE(
    "a standing order that cannot be read fails the start with its name; a missing effect is the safe one") {
    CHECK_THROWS_WITH_AS(FakeHost(orders_with({{"rules.fall_multiple", "four"}})),
                         doctest::Contains("rules.fall_multiple"), std::runtime_error);
    CHECK_THROWS_AS(FakeHost(orders_with({{"caps.probes", "maybe"}})), std::runtime_error);
    SettingsMap orders = plain_orders();
    orders.erase("workloads.0.effect");
    FakeHost host(orders);
    host.fleet(2, 2);
    host.ask(0);
    host.end(Outcome::error);
    CHECK(host.count<Abandon>() == 1);
}

// A newcomer's fleet: reports come with answers only, and an answer does not count the task that it ends.
TEST_CASE("a report that comes with an end and does not count it any more gives the runner its slots") {
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

TEST_CASE("where nobody reports, slots are found within as many answers, not seconds") {
    SettingsMap orders = plain_orders();
    orders.erase("reports.names");
    FakeHost host(orders);
    host.fleet(FakeHost::entries(1));
    for (int i = 0; i < 30; ++i) host.ask();
    const Micros began = host.now;
    std::size_t ended = 0;
    for (int i = 0; i < 12; ++i) {  // twelve round trips of 5 ms, every answer as quick as the first
        const std::size_t out = host.assigned.size();
        host.pass(5'000);
        for (; ended < out; ++ended)
            host.end(Outcome::finished, 5'000, static_cast<int>(host.assigned.size() - 1 - ended));
    }
    CHECK(host.now - began < 100'000);
    CHECK(host.assigned.size() == 30);
}

TEST_CASE(
    "where only draining binds, what a list calls gone goes on by its own answers, and a drain holds until a "
    "start") {
    SettingsMap orders = plain_orders();
    orders["rules.only_draining_binds"] = "true";
    FakeHost host(orders);
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
    host.fleet({FakeHost::entry(1)});  // a wrong list: two that live are left out
    CHECK(sent_to(2));
    host.fleet({FakeHost::entry(3, RunnerState::gone)}, UpdateScope::delta);
    CHECK(sent_to(3));
    host.fleet({FakeHost::entry(2, RunnerState::draining)}, UpdateScope::delta);
    CHECK_FALSE(sent_to(2));
    host.fleet({FakeHost::entry(1)});
    CHECK_FALSE(sent_to(2));  // dropped after its drain
    host.fleet(FakeHost::entries(3));
    CHECK_FALSE(sent_to(2));  // an old list come back
    EndpointEntry again = FakeHost::entry(2);
    again.started_at = host.now;
    host.fleet({again}, UpdateScope::delta);
    host.report(2, 9, 0);
    host.pass(40'000'000);
    CHECK(sent_to(2));
    // Of one that is called gone its own failure is believed, and no trial follows.
    host.fleet({FakeHost::entry(3, RunnerState::gone)}, UpdateScope::delta);
    host.report(1, 0, 9), host.report(2, 0, 9);  // the others are full
    host.ask();
    CHECK(host.assigned.back().runner == RunnerId{3});
    host.end(Outcome::connect_failed);
    host.report(1, 9, 0);
    host.pass(6'000'000);
    CHECK_FALSE(sent_to(3));
    orders["rules.only_draining_binds"] = "perhaps";
    CHECK_THROWS_WITH(Balancer(orders, 1),
                      "standing order rules.only_draining_binds is neither true nor false: perhaps");
}

TEST_CASE(
    "a large fleet spreads its first calls for the list and waits longer after each failure; a small one "
    "asks at once") {
    // When each of a fleet first asks, and when again after failures in a row, from its start.
    const auto asks = [](int dispatchers, std::uint64_t seed) {
        SettingsMap orders = plain_orders();
        orders["roster.how"] = "on_request", orders["rules.must_ask_in_us"] = "10000000";
        orders["dispatchers"] = std::to_string(dispatchers);
        FakeHost host(orders, seed);
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
    CHECK(asks(3, 1).front() == 0);
    CHECK(asks(3, 1).back() - asks(3, 1)[5] <= 3'800'000);
    std::set<Micros> first;
    Micros longest = 0;
    for (std::uint64_t seed = 1; seed <= 48; ++seed) {
        const auto at = asks(48, seed);
        first.insert(at.front() / 100'000);
        CHECK(at.front() <= 2'500'000);
        CHECK(at[1] - at[0] >= 1'250'000);
        longest = std::max(longest, at.back() - at[5]);
    }
    CHECK(first.size() >= 16);  // tenths of a second
    CHECK(longest > 10'000'000);
}
