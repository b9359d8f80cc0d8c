#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

#include "cluster/proxy/retry_state.hpp"

namespace gannethold::cluster {
namespace {

constexpr Micros kNow = 10'000'000;
constexpr Micros kDeadline = kNow + 1'000'000;

Route route(bool idempotent, std::uint32_t attempts) {
    Route made;
    made.idempotent = idempotent;
    made.attempts = attempts;
    return made;
}

RetryState after(AttemptResult result) {
    RetryState state;
    state.on_attempt_sent();
    state.on_attempt_completed(result);
    return state;
}

BOOST_AUTO_TEST_CASE(a_request_that_may_have_run_is_retried_on_an_idempotent_route_only) {
    for (const AttemptResult result : {AttemptResult::runner_error, AttemptResult::outcome_unknown}) {
        const RetryState state = after(result);
        BOOST_TEST(state.may_have_run());
        BOOST_TEST(state.may_retry(route(true, 2), result, kNow, kDeadline));
        BOOST_TEST(!state.may_retry(route(false, 2), result, kNow, kDeadline));
    }
    for (const AttemptResult result : {AttemptResult::rejected, AttemptResult::misdirected,
                                       AttemptResult::connect_failed, AttemptResult::not_sent}) {
        const RetryState state = after(result);
        BOOST_TEST(!state.may_have_run());
        BOOST_TEST(state.may_retry(route(false, 2), result, kNow, kDeadline));
    }
}

BOOST_AUTO_TEST_CASE(an_attempt_that_could_not_connect_is_not_counted) {
    RetryState state = after(AttemptResult::connect_failed);
    BOOST_TEST(state.may_retry(route(false, 1), AttemptResult::connect_failed, kNow, kDeadline));
    state.begin_next_attempt();
    BOOST_TEST(!state.is_retry());
    state.on_attempt_sent();
    state.on_attempt_completed(AttemptResult::rejected);
    BOOST_TEST(!state.may_retry(route(false, 1), AttemptResult::rejected, kNow, kDeadline));
    state.begin_next_attempt();
    BOOST_TEST(state.is_retry());
}

BOOST_AUTO_TEST_CASE(too_short_before_the_deadline_nothing_is_retried) {
    const RetryState state = after(AttemptResult::rejected);
    BOOST_TEST(!state.may_retry(route(true, 2), AttemptResult::rejected, kDeadline - 20'000, kDeadline));
    BOOST_TEST(state.may_retry(route(true, 2), AttemptResult::rejected, kDeadline - 20'001, kDeadline));
}

BOOST_AUTO_TEST_CASE(what_may_have_run_once_stays_so) {
    RetryState state = after(AttemptResult::outcome_unknown);
    state.on_attempt_sent();
    state.on_attempt_completed(AttemptResult::rejected);
    BOOST_TEST(state.may_have_run());
}

}  // namespace
}  // namespace gannethold::cluster
