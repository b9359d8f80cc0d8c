// Learners, and planned ends of members (consensus/membership.cpp).
#include <boost/test/unit_test.hpp>

#include "cluster/consensus/consensus.hpp"
#include "member_fixture.hpp"

namespace gannethold::cluster::tests {
namespace {

constexpr Micros kNow = EstablishedLeader::kNow;

BOOST_AUTO_TEST_CASE(a_machine_that_joins_is_a_learner_until_it_falls_silent) {
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

BOOST_AUTO_TEST_CASE(a_learner_that_has_caught_up_takes_the_place_of_a_voter_that_leaves) {
    EstablishedLeader leader;
    ignore(leader.confirm("c", 1));
    ignore(leader.member.on_message(kNow, "d", JoinRequest{}));
    ignore(leader.confirm("d", 1));
    ignore(leader.member.on_message(kNow, "c", LeaveRequest{}));
    BOOST_TEST((leader.member.voters() == std::vector<std::string>{"a", "b", "d"}));
    BOOST_TEST(
        (leader.member.persistent_state().entry.outgoing_members == std::vector<std::string>{"a", "b", "c"}));
    // The joint entry needs a majority of both; the next entry ends the change.
    ignore(leader.confirm("b", 2));
    BOOST_TEST(leader.member.persistent_state().entry.outgoing_members.empty());
    BOOST_TEST((leader.member.voters() == std::vector<std::string>{"a", "b", "d"}));
}

BOOST_AUTO_TEST_CASE(a_voter_may_leave_once_a_quorum_of_the_others_has_the_head) {
    EstablishedLeader leader;
    ignore(leader.member.propose(kNow, {71, 2, "two"}));
    ignore(leader.confirm("c", 2));
    BOOST_TEST(messages_of<LeaveResponse>(leader.member.on_message(kNow, "c", LeaveRequest{})).empty());
    ignore(leader.confirm("b", 2));
    const auto responses = messages_of<LeaveResponse>(leader.member.on_message(kNow, "c", LeaveRequest{}));
    BOOST_REQUIRE(responses.size() == 1U);
    BOOST_TEST(responses.front().term == EstablishedLeader::kLeaderTerm);
}

BOOST_AUTO_TEST_CASE(a_leader_that_leaves_asks_a_voter_that_has_the_head_to_stand) {
    EstablishedLeader leader;
    const ConsensusOutput output = leader.member.begin_leaving(kNow);
    BOOST_REQUIRE(messages_of<TimeoutNow>(output).size() == 1U);
    BOOST_TEST(output.messages.back().to == "b");
    BOOST_TEST(!leader.member.is_established_leader());
    BOOST_TEST(!leader.member.may_stop());
}

BOOST_AUTO_TEST_CASE(a_follower_that_leaves_may_stop_when_its_leader_says_so) {
    Consensus follower(member_options("b"), member_state(), kStart);
    ignore(follower.start());
    ignore(follower.on_message(kStart, "a", heartbeat(kTerm, 5)));
    BOOST_TEST(messages_of<LeaveRequest>(follower.begin_leaving(kStart)).size() == 1U);
    ignore(follower.on_message(kStart, "a", LeaveResponse{kTerm - 1}));
    BOOST_TEST(!follower.may_stop());
    ignore(follower.on_message(kStart, "a", LeaveResponse{kTerm}));
    BOOST_TEST(follower.may_stop());
}

BOOST_AUTO_TEST_CASE(the_only_member_may_stop_at_once) {
    PersistentState state = member_state();
    state.entry.members = {"a"};
    Consensus alone(member_options("a"), state, kStart);
    ignore(alone.start());
    ignore(alone.begin_leaving(kStart));
    BOOST_TEST(alone.may_stop());
}

}  // namespace
}  // namespace gannethold::cluster::tests
