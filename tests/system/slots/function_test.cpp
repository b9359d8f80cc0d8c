#include "cluster/slots/function.hpp"

#include <boost/test/unit_test.hpp>

#include "cluster/slots/expected_wait.hpp"
#include "cluster/slots/runner_table.hpp"
#include "slots/fixture.hpp"

namespace gannethold::cluster {

namespace {

// A function "f" with two slots per runner and ready runners in zones "a" and "b".
struct TwoRunnersFixture {
    TwoRunnersFixture()
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
const RunnerSlots::Grant kGrant{kFirstProxy, 1, 1, kNow};

}  // namespace

BOOST_AUTO_TEST_CASE(the_drawn_runner_is_preferred_then_one_in_the_zone_then_the_least_utilized) {
    TwoRunnersFixture fixture;
    BOOST_TEST((fixture.function.pick_runner(kNow, &fixture.in_b, "a") == &fixture.in_b));
    BOOST_TEST((fixture.function.pick_runner(kNow, nullptr, "a") == &fixture.in_a));
    BOOST_TEST((fixture.function.pick_runner(kNow, nullptr, "b") == &fixture.in_b));
    BOOST_TEST((fixture.function.pick_runner(kNow, nullptr, "c") == &fixture.in_a));
    fixture.in_a.grants.push_back(kGrant);
    BOOST_TEST((fixture.function.pick_runner(kNow, nullptr, "c") == &fixture.in_b));
    fixture.in_a.grants.push_back(kGrant);  // full
    BOOST_TEST((fixture.function.pick_runner(kNow, &fixture.in_a, "a") == &fixture.in_b));
    BOOST_TEST(fixture.function.outstanding() == 2.0);
}

BOOST_AUTO_TEST_CASE(a_runner_that_is_draining_starting_or_ejected_is_not_available) {
    TwoRunnersFixture fixture;
    fixture.in_a.draining = true;
    fixture.in_b.eject_until(kNow + 1);
    BOOST_TEST((fixture.function.pick_runner(kNow, nullptr, "a") == nullptr));
    BOOST_TEST((fixture.function.pick_runner(kNow + 1, nullptr, "a") == &fixture.in_b));
    fixture.in_b.eject_until(kNow);  // does not shorten an ejection
    BOOST_TEST(fixture.in_b.ejected_until == kNow + 1);
    fixture.in_b.state = RunnerState::starting;
    BOOST_TEST((fixture.function.pick_runner(kNow + 1, nullptr, "a") == nullptr));
    BOOST_TEST(fixture.function.total_slots() == 2.0);
}

BOOST_AUTO_TEST_CASE(a_request_waits_for_a_slot_a_start_or_memory) {
    TwoRunnersFixture fixture;
    BOOST_TEST((fixture.function.wait_reason() == WaitReason::slot));
    fixture.in_a.draining = true;
    fixture.in_b.state = RunnerState::starting;
    BOOST_TEST((fixture.function.wait_reason() == WaitReason::start));
    fixture.function.no_worker_has_room = true;
    BOOST_TEST((fixture.function.wait_reason() == WaitReason::memory));
}

BOOST_AUTO_TEST_CASE(traffic_counts_as_observed_after_three_seconds_without_a_long_pause) {
    Function function("f", RetryBudget::Options{});
    function.on_request(kNow);
    BOOST_TEST(!function.is_observed(kNow));
    function.on_request(kNow + 3'000'000);
    BOOST_TEST(function.is_observed(kNow + 3'000'000));
    BOOST_TEST(!function.is_observed(kNow + 8'000'000));  // no request for 5 s
    function.on_request(kNow + 9'000'000);
    BOOST_TEST(!function.is_observed(kNow + 9'000'000));
    function.assume_observed(kNow + 9'000'000);
    BOOST_TEST(function.is_observed(kNow + 9'000'000));
}

BOOST_AUTO_TEST_CASE(the_expected_wait_is_the_time_until_the_first_slot_becomes_free) {
    TwoRunnersFixture fixture;
    WorkDurations durations;
    durations.add(1, 300'000);
    BOOST_TEST(expected_wait_us(kNow, fixture.function, durations) == 0.0);
    for (int n = 0; n < 2; ++n) {
        fixture.in_a.grants.push_back(kGrant);
        fixture.in_b.grants.push_back(kGrant);
    }
    BOOST_TEST(expected_wait_us(kNow + 100'000, fixture.function, durations) == 200'000.0);
    fixture.in_b.grants.pop_back();
    fixture.in_b.ejected_until = kNow + 150'000;
    BOOST_TEST(expected_wait_us(kNow + 100'000, fixture.function, durations) == 50'000.0);
    // The first waiting request takes that slot.
    WaitQueue::Waiting waiting;
    waiting.work = 400'000;
    fixture.function.waiting.add(waiting);
    fixture.function.waiting.add(waiting);
    BOOST_TEST(expected_wait_us(kNow + 100'000, fixture.function, durations) == 200'000.0);
    fixture.in_a.draining = true;
    fixture.in_b.draining = true;
    BOOST_TEST(expected_wait_us(kNow, fixture.function, durations) > 1e9);
}

}  // namespace gannethold::cluster
