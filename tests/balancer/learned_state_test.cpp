// The learned state that a balancer hands over to its successor.
#include "helpers.hpp"

#include "snapshot/decay.hpp"

using namespace gannethold;

namespace {

// The state of a module that has worked for a while with one slow and one fast runner.
LearnedState learned() {
    FakeHost host;
    host.fleet(2, 8);
    for (int i = 0; i < 200; ++i) {
        host.ask();
        host.pass(20'000);
        const bool slow = host.assigned.back().runner == RunnerId{1};
        host.end(Outcome::finished, slow ? 400'000 : 50'000, 0, {8, 0, 0});
    }
    host.pass(3'000'000);
    return host.balancer.learned_state();
}

LearnedState decayed(LearnedState learned) {
    for (RunnerEstimates& r : learned.runners)
        r.latency.assign_bins(snapshot::decayed({r.latency.bins().begin(), r.latency.bins().end()}, 1, 8));
    return learned;
}

}  // namespace

TEST_CASE("a module with restored state splits the traffic as its predecessor did, from the first task") {
    const LearnedState state = decayed(learned());
    FakeHost fresh;
    fresh.fleet(2, 8);
    CHECK(fresh.balancer.fractions()[RunnerId{1}] == doctest::Approx(0.5));
    fresh.balancer.restore(state);
    CHECK(fresh.balancer.fractions()[RunnerId{1}] < 0.3);
}

TEST_CASE("a restored estimate is dropped at the second live sample that contradicts it") {
    FakeHost host;
    host.fleet(2, 8);
    host.balancer.restore(decayed(learned()));
    const auto latency_of = [&](unsigned id) {
        for (const RunnerEstimates& r : host.balancer.learned_state().runners)
            if (r.runner == RunnerId{id}) return r.latency.mean(0);
        return 0.0;
    };
    const double restored = latency_of(2);
    // The fast runner has become slow.
    int samples = 0;
    for (int i = 0; i < 100 && samples < 2; ++i) {
        host.ask();
        host.pass(20'000);
        const bool is_slow = host.assigned.back().runner == RunnerId{2};
        samples += is_slow;
        host.end(Outcome::finished, is_slow ? 2'000'000 : 400'000, 0, {8, 0, 0});
    }
    REQUIRE(samples == 2);
    CHECK(latency_of(2) > 4 * restored);
}

TEST_CASE("swapped estimates are corrected within a few seconds of traffic") {
    const LearnedState state = decayed(learned());
    LearnedState wrong = state;
    std::swap(wrong.runners[0].latency, wrong.runners[1].latency);
    std::swap(wrong.runners[0].fraction, wrong.runners[1].fraction);
    std::swap(wrong.runners[0].min_latency, wrong.runners[1].min_latency);
    FakeHost host;
    host.fleet(2, 8);
    host.balancer.restore(wrong);
    CHECK(host.balancer.fractions()[RunnerId{1}] > 0.7);
    int tasks = 0;
    while (host.balancer.fractions()[RunnerId{1}] > 0.4 && tasks < 1'000) {
        ++tasks;
        host.ask();
        host.pass(20'000);
        host.end(Outcome::finished, host.assigned.back().runner == RunnerId{1} ? 400'000 : 50'000, 0,
                 {8, 0, 0});
    }
    MESSAGE("corrected after ", tasks, " tasks at 50 a second");
    CHECK(tasks < 500);
}

TEST_CASE("a runner in slow start stays within its budget, whatever estimates are restored") {
    const auto sent_in_first_second = [](bool has_estimates) {
        FakeHost host;
        host.now = 100'000'000;
        EndpointEntry started = FakeHost::entry(1);
        started.started_at = host.now - 100'000;
        host.fleet({started});
        if (has_estimates) {
            LearnedState state;
            RunnerEstimates r;
            r.runner = RunnerId{1};
            r.slots = 64;
            r.fraction = 1;
            r.min_latency = 0.5;
            for (int i = 0; i < 8; ++i) r.latency.add(0.5);
            state.runners.push_back(r);
            host.balancer.restore(state);
        }
        for (int i = 0; i < 100; ++i) host.ask();
        host.pass(900'000);
        return host.assigned.size();
    };
    CHECK(sent_in_first_second(true) <= sent_in_first_second(false));
}
