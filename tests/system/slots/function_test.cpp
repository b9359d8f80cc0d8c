#include "cluster/slots/function.hpp"

#include <boost/test/unit_test.hpp>

#include "cluster/slots/expected_wait.hpp"
#include "cluster/slots/runner_table.hpp"
#include "slots/fixture.hpp"

namespace gannethold::cluster {

namespace {

// A function "f" of two slots a runner, with ready runners in zones "a" and "b".
struct TwoRunners {
    TwoRunners()
        : configuration(one_function(2)),
          function(configured(*configuration)),
          in_a(runners.add(0, runner_info("i-a", "a"), function)),
          in_b(runners.add(0, runner_info("i-b", "b"), function)) {
        runners.mark_ready(in_a);
        runners.mark_ready(in_b);
    }
    static Function configured(const Configuration& configuration) {
        Function function("f", RetryBudget::Options{});
        function.service = configuration.find_service("f");
        return function;
    }
    std::shared_ptr<const Configuration> configuration;
    Function function;
    RunnerTable runners{1};
    RunnerSlots& in_a;
    RunnerSlots& in_b;
};

constexpr Micros kNow = 10'000'000;
const RunnerSlots::Grant kGrant{kFirst, 1, 1, kNow};

}  // namespace

BOOST_AUTO_TEST_CASE(the_drawn_runner_is_taken_then_one_of_the_zone_then_the_emptiest) {
    TwoRunners two;
    BOOST_TEST((two.function.pick_runner(kNow, &two.in_b, "a") == &two.in_b));
    BOOST_TEST((two.function.pick_runner(kNow, nullptr, "a") == &two.in_a));
    BOOST_TEST((two.function.pick_runner(kNow, nullptr, "b") == &two.in_b));
    BOOST_TEST((two.function.pick_runner(kNow, nullptr, "c") == &two.in_a));
    two.in_a.grants.push_back(kGrant);
    BOOST_TEST((two.function.pick_runner(kNow, nullptr, "c") == &two.in_b));
    two.in_a.grants.push_back(kGrant);  // full
    BOOST_TEST((two.function.pick_runner(kNow, &two.in_a, "a") == &two.in_b));
    BOOST_TEST(two.function.outstanding() == 2.0);
}

BOOST_AUTO_TEST_CASE(a_runner_that_drains_starts_or_is_ejected_is_not_available) {
    TwoRunners two;
    two.in_a.draining = true;
    two.in_b.eject_until(kNow + 1);
    BOOST_TEST((two.function.pick_runner(kNow, nullptr, "a") == nullptr));
    BOOST_TEST((two.function.pick_runner(kNow + 1, nullptr, "a") == &two.in_b));
    two.in_b.eject_until(kNow);  // never shortens an ejection
    BOOST_TEST(two.in_b.ejected_until == kNow + 1);
    two.in_b.state = RunnerState::starting;
    BOOST_TEST((two.function.pick_runner(kNow + 1, nullptr, "a") == nullptr));
    BOOST_TEST(two.function.total_slots() == 2.0);
}

BOOST_AUTO_TEST_CASE(a_request_waits_for_a_slot_a_start_or_memory) {
    TwoRunners two;
    BOOST_TEST((two.function.missing() == WaitReason::slot));
    two.in_a.draining = true;
    two.in_b.state = RunnerState::starting;
    BOOST_TEST((two.function.missing() == WaitReason::start));
    two.function.no_worker_has_room = true;
    BOOST_TEST((two.function.missing() == WaitReason::memory));
}

BOOST_AUTO_TEST_CASE(traffic_is_observed_after_three_seconds_without_a_long_pause) {
    Function function("f", RetryBudget::Options{});
    function.on_request(kNow);
    BOOST_TEST(!function.is_observed(kNow));
    function.on_request(kNow + 3'000'000);
    BOOST_TEST(function.is_observed(kNow + 3'000'000));
    BOOST_TEST(!function.is_observed(kNow + 8'000'000));  // nobody asks any more
    function.on_request(kNow + 9'000'000);
    BOOST_TEST(!function.is_observed(kNow + 9'000'000));
    function.assume_observed(kNow + 9'000'000);
    BOOST_TEST(function.is_observed(kNow + 9'000'000));
}

BOOST_AUTO_TEST_CASE(the_expected_wait_is_that_of_the_slot_that_comes_free_first) {
    TwoRunners two;
    WorkDurations durations;
    durations.add(1, 300'000);
    BOOST_TEST(expected_wait(kNow, two.function, durations) == 0.0);
    for (int n = 0; n < 2; ++n) {
        two.in_a.grants.push_back(kGrant);
        two.in_b.grants.push_back(kGrant);
    }
    BOOST_TEST(expected_wait(kNow + 100'000, two.function, durations) == 200'000.0);
    two.in_b.grants.pop_back();
    two.in_b.ejected_until = kNow + 150'000;
    BOOST_TEST(expected_wait(kNow + 100'000, two.function, durations) == 50'000.0);
    // One that waits takes that slot.
    WaitQueue::Waiting waiting;
    waiting.work = 400'000;
    two.function.waiting.add(waiting);
    two.function.waiting.add(waiting);
    BOOST_TEST(expected_wait(kNow + 100'000, two.function, durations) == 200'000.0);
    two.in_a.draining = true;
    two.in_b.draining = true;
    BOOST_TEST(expected_wait(kNow, two.function, durations) > 1e9);
}

}  // namespace gannethold::cluster
