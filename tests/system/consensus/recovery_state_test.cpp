// State of a machine that recovers its membership (consensus/recovery_state.hpp).
#include <boost/test/unit_test.hpp>

#include "cluster/consensus/recovery_state.hpp"

namespace gannethold::cluster {
namespace {

constexpr Nonce kNonce = 77;

RecoveryResponse response(Term term, Term pre_voted_through, LogPosition last_entry) {
    RecoveryResponse response;
    response.nonce = kNonce;
    response.term = term;
    response.pre_voted_through = pre_voted_through;
    response.last_entry = last_entry;
    response.members = {"a", "b", "c"};
    return response;
}

BOOST_AUTO_TEST_CASE(responses_count_only_for_the_attempt_in_progress) {
    RecoveryState recovery(1'000'000);
    BOOST_TEST(!recovery.add_response("b", response(3, 3, {3, 4})));
    BOOST_TEST(recovery.is_request_due(1'000'000));
    BOOST_TEST(recovery.make_request(1'000'000, kNonce).nonce == kNonce);
    BOOST_TEST(!recovery.is_request_due(1'249'999));
    BOOST_TEST(recovery.is_request_due(1'250'000));
    // The attempt in progress keeps its nonce.
    BOOST_TEST(recovery.make_request(1'250'000, kNonce + 1).nonce == kNonce);
    BOOST_TEST(recovery.add_response("b", response(3, 3, {3, 4})));
    RecoveryResponse other = response(3, 3, {3, 4});
    other.nonce = kNonce + 1;
    BOOST_TEST(!recovery.add_response("c", other));
}

BOOST_AUTO_TEST_CASE(a_quorum_without_the_machine_itself_is_needed) {
    RecoveryState recovery(0);
    recovery.make_request(0, kNonce);
    recovery.add_response("b", response(3, 3, {3, 4}));
    recovery.add_response("a", response(3, 3, {3, 4}));
    BOOST_TEST(!recovery.has_quorum_without("a"));
    recovery.add_response("c", response(2, 5, {2, 9}));
    BOOST_TEST(recovery.has_quorum_without("a"));
    BOOST_TEST((recovery.newest_response().last_entry == LogPosition{3, 4}));
    BOOST_TEST(recovery.newest_term() == 3U);
    BOOST_TEST(recovery.reported_voters().size() == 3U);
}

BOOST_AUTO_TEST_CASE(a_voter_awaits_the_newest_entry_and_does_not_vote_in_terms_in_which_it_may_have_voted) {
    RecoveryState recovery(0);
    recovery.make_request(0, kNonce);
    recovery.add_response("b", response(3, 3, {3, 4}));
    recovery.add_response("c", response(2, 5, {2, 9}));
    BOOST_TEST(!recovery.accepts_state(true));
    recovery.await_state(3);
    BOOST_TEST(!recovery.accepts_state(false));
    BOOST_TEST(recovery.accepts_state(true));
    BOOST_TEST(recovery.no_vote_through() == 5U);
    BOOST_TEST(!recovery.is_satisfied_by({3, 3}));
    BOOST_TEST(recovery.is_satisfied_by({3, 4}));
    recovery.finish();
    BOOST_TEST(!recovery.accepts_state(true));
    BOOST_TEST(recovery.no_vote_through() == 0U);
}

BOOST_AUTO_TEST_CASE(a_machine_that_is_not_a_voter_accepts_any_state_at_once) {
    RecoveryState recovery(0);
    recovery.accept_any_state();
    BOOST_TEST(recovery.accepts_state(false));
    BOOST_TEST(recovery.is_satisfied_by({1, 1}));
}

}  // namespace
}  // namespace gannethold::cluster
