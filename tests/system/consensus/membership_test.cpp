// Learners, and planned leaves of members (consensus/membership.cpp).
#include <boost/test/unit_test.hpp>

#include "cluster/consensus/consensus.hpp"
#include "member_fixture.hpp"

namespace gannethold::cluster::tests {
namespace {

constexpr Micros kNow = EstablishedLeader::kNow;

BOOST_AUTO_TEST_CASE(a_joining_machine_is_a_learner_until_it_is_silent) {
    EstablishedLeader leader;
    ignore(leader.member.on_message(kNow, "d", JoinRequest{}));
    BOOST_TEST(leader.member.learners().contains("d"));
    BOOST_TEST(leader.member.voters().size() == 3U);
    ignore(leader.member.on_message(kNow, "b", JoinRequest{}));
    BOOST_TEST(!leader.member.learners().contains("b"));
    ignore(leader.confirm("b", 1, kNow + 2'000'000));
    BOOST_TEST(leader.member.learners().contains("d"));
    ignore(leader.confirm("b", 1, kNow + 2'000'001));
    BOOST_TEST(!leader.member.learners().contains("d"));
}

BOOST_AUTO_TEST_CASE(a_learner_that_has_caught_up_replaces_a_leaving_voter) {
    EstablishedLeader leader;
    ignore(leader.confirm("c", 1));
    ignore(leader.member.on_message(kNow, "d", JoinRequest{}));
    ignore(leader.confirm("d", 1));
    ignore(leader.member.on_message(kNow, "c", LeaveRequest{}));
    BOOST_TEST((leader.member.voters() == std::vector<std::string>{"a", "b", "d"}));
    BOOST_TEST(
        (leader.member.persistent_state().entry.outgoing_members == std::vector<std::string>{"a", "b", "c"}));
    // The joint entry needs a majority of both groups; the next entry completes the change.
    ignore(leader.confirm("b", 2));
    BOOST_TEST(leader.member.persistent_state().entry.outgoing_members.empty());
    BOOST_TEST((leader.member.voters() == std::vector<std::string>{"a", "b", "d"}));
}

BOOST_AUTO_TEST_CASE(a_voter_may_leave_once_a_quorum_of_the_others_has_stored_the_head) {
    EstablishedLeader leader;
    ignore(leader.member.propose(kNow, {71, 2, "two"}));
    ignore(leader.confirm("c", 2));
    BOOST_TEST(messages_of<LeaveResponse>(leader.member.on_message(kNow, "c", LeaveRequest{})).empty());
    ignore(leader.confirm("b", 2));
    const auto responses = messages_of<LeaveResponse>(leader.member.on_message(kNow, "c", LeaveRequest{}));
    BOOST_REQUIRE(responses.size() == 1U);
    BOOST_TEST(responses.front().term == EstablishedLeader::kLeaderTerm);
}

BOOST_AUTO_TEST_CASE(a_leaving_leader_transfers_leadership_to_a_voter_that_has_stored_the_head) {
    EstablishedLeader leader;
    const ConsensusOutput output = leader.member.begin_leaving(kNow);
    BOOST_REQUIRE(messages_of<TimeoutNow>(output).size() == 1U);
    BOOST_TEST(output.messages.back().to == "b");
    BOOST_TEST(!leader.member.is_established_leader());
    BOOST_TEST(!leader.member.can_stop());
}

BOOST_AUTO_TEST_CASE(a_leaving_follower_may_stop_after_the_leader_s_response) {
    Consensus follower(member_options("b"), member_state(), kStart);
    ignore(follower.start());
    ignore(follower.on_message(kStart, "a", heartbeat(kTerm, 5)));
    BOOST_TEST(messages_of<LeaveRequest>(follower.begin_leaving(kStart)).size() == 1U);
    ignore(follower.on_message(kStart, "a", LeaveResponse{kTerm - 1}));
    BOOST_TEST(!follower.can_stop());
    ignore(follower.on_message(kStart, "a", LeaveResponse{kTerm}));
    BOOST_TEST(follower.can_stop());
}

BOOST_AUTO_TEST_CASE(a_single_member_may_stop_at_once) {
    PersistentState state = member_state();
    state.entry.members = {"a"};
    Consensus member(member_options("a"), state, kStart);
    ignore(member.start());
    ignore(member.begin_leaving(kStart));
    BOOST_TEST(member.can_stop());
}

}  // namespace
}  // namespace gannethold::cluster::tests
