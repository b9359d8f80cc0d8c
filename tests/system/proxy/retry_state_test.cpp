#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "cluster/proxy/retry_state.hpp"

namespace gannethold::cluster {
namespace {

constexpr Micros kNow = 10'000'000;
constexpr Micros kDeadline = kNow + 1'000'000;

Route make_route(bool idempotent, std::uint32_t max_attempts) {
    Route route;
    route.is_idempotent = idempotent;
    route.max_attempts = max_attempts;
    return route;
}

// The state after one attempt with that result.
RetryState state_after(AttemptResult result) {
    RetryState state;
    state.on_attempt_sent();
    state.on_attempt_completed(result);
    return state;
}

BOOST_AUTO_TEST_CASE(a_request_that_may_have_run_is_retried_on_an_idempotent_route_only) {
    for (const AttemptResult result : {AttemptResult::runner_error, AttemptResult::outcome_unknown}) {
        const RetryState state = state_after(result);
        BOOST_TEST(state.may_have_run());
        BOOST_TEST(state.may_retry(make_route(true, 2), result, kNow, kDeadline));
        BOOST_TEST(!state.may_retry(make_route(false, 2), result, kNow, kDeadline));
    }
    for (const AttemptResult result : {AttemptResult::rejected, AttemptResult::misdirected,
                                       AttemptResult::connect_failed, AttemptResult::not_sent}) {
        const RetryState state = state_after(result);
        BOOST_TEST(!state.may_have_run());
        BOOST_TEST(state.may_retry(make_route(false, 2), result, kNow, kDeadline));
    }
}

BOOST_AUTO_TEST_CASE(an_attempt_that_failed_to_connect_does_not_count) {
    RetryState state = state_after(AttemptResult::connect_failed);
    BOOST_TEST(state.may_retry(make_route(false, 1), AttemptResult::connect_failed, kNow, kDeadline));
    state.begin_next_attempt();
    BOOST_TEST(!state.is_retry());
    state.on_attempt_sent();
    state.on_attempt_completed(AttemptResult::rejected);
    BOOST_TEST(!state.may_retry(make_route(false, 1), AttemptResult::rejected, kNow, kDeadline));
    state.begin_next_attempt();
    BOOST_TEST(state.is_retry());
}

BOOST_AUTO_TEST_CASE(a_request_is_not_retried_shortly_before_its_deadline) {
    const RetryState state = state_after(AttemptResult::rejected);
    BOOST_TEST(!state.may_retry(make_route(true, 2), AttemptResult::rejected, kDeadline - 20'000, kDeadline));
    BOOST_TEST(state.may_retry(make_route(true, 2), AttemptResult::rejected, kDeadline - 20'001, kDeadline));
}

BOOST_AUTO_TEST_CASE(a_later_rejection_does_not_clear_that_the_request_may_have_run) {
    RetryState state = state_after(AttemptResult::outcome_unknown);
    state.on_attempt_sent();
    state.on_attempt_completed(AttemptResult::rejected);
    BOOST_TEST(state.may_have_run());
}

}  // namespace
}  // namespace gannethold::cluster
