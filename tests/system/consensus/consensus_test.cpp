// Leases, commits and proposals of a leader (consensus/consensus.hpp, replication.cpp, proposals.cpp).
#define BOOST_TEST_MODULE consensus
#include <boost/test/unit_test.hpp>

#include "cluster/consensus/consensus.hpp"
#include "member_fixture.hpp"

namespace gannethold::cluster::tests {
namespace {

// Guards against a lease that no quorum has granted. A member that was suspended may answer heartbeats of an
// earlier incarnation of the leader; their rounds have not been sent by the current incarnation.
BOOST_AUTO_TEST_CASE(a_response_to_an_unsent_round_grants_no_lease) {
    constexpr Micros kNow = 3'000'000;
    Consensus::Options options = member_options("a");
    options.bootstrap = true;
    Consensus consensus(options, {}, 1'000'000);
    ignore(consensus.start());
    ignore(consensus.on_timer(kNow));
    ignore(consensus.on_message(kNow, "b", vote(1, true)));
    ignore(consensus.on_message(kNow, "b", vote(1, false)));
    const LogPosition first = consensus.persistent_state().entry.position;
    ignore(consensus.on_message(kNow, "b", append_response(1, 1000, first)));
    BOOST_TEST(consensus.is_established_leader());
    BOOST_TEST(!consensus.has_lease(kNow));
    ignore(consensus.on_message(kNow, "b", append_response(1, 1, first)));
    BOOST_TEST(consensus.has_lease(kNow));
}

BOOST_AUTO_TEST_CASE(a_lease_expires_without_further_responses) {
    EstablishedLeader leader;
    BOOST_TEST(leader.member.has_lease(EstablishedLeader::kNow));
    BOOST_TEST(leader.member.has_lease(EstablishedLeader::kNow + 329'999));
    BOOST_TEST(!leader.member.has_lease(EstablishedLeader::kNow + 330'000));
    BOOST_TEST(leader.member.is_established_leader());
}

BOOST_AUTO_TEST_CASE(a_proposal_is_committed_once_a_quorum_has_stored_it) {
    EstablishedLeader leader;
    const ConsensusOutput proposed = leader.member.propose(EstablishedLeader::kNow, {71, 2, "two"});
    BOOST_TEST(proposed.must_persist);
    BOOST_TEST(proposed.proposal_results.empty());
    BOOST_TEST(leader.member.committed_entry()->version == 1U);
    const ConsensusOutput confirmed = leader.confirm("c", 2);
    BOOST_REQUIRE(confirmed.proposal_results.size() == 1U);
    BOOST_TEST(confirmed.proposal_results.front().id == 71U);
    BOOST_TEST((confirmed.proposal_results.front().outcome == ProposalOutcome::committed));
    BOOST_TEST(leader.member.committed_entry()->version == 2U);
    BOOST_TEST(leader.member.committed_entry()->body == "two");
}

BOOST_AUTO_TEST_CASE(another_body_under_a_committed_version_is_a_conflict) {
    EstablishedLeader leader;
    ignore(leader.member.propose(EstablishedLeader::kNow, {71, 2, "two"}));
    ignore(leader.confirm("b", 2));
    const ConsensusOutput repeated = leader.member.propose(EstablishedLeader::kNow, {72, 2, "two"});
    BOOST_REQUIRE(repeated.proposal_results.size() == 1U);
    BOOST_TEST((repeated.proposal_results.front().outcome == ProposalOutcome::committed));
    const ConsensusOutput other = leader.member.propose(EstablishedLeader::kNow, {73, 2, "another two"});
    BOOST_REQUIRE(other.proposal_results.size() == 1U);
    BOOST_TEST((other.proposal_results.front().outcome == ProposalOutcome::conflict));
    BOOST_TEST(!other.must_persist);
}

BOOST_AUTO_TEST_CASE(a_leader_without_responses_from_a_quorum_steps_down_with_unknown_outcomes) {
    EstablishedLeader leader;
    ignore(leader.member.propose(EstablishedLeader::kNow, {71, 2, "two"}));
    const ConsensusOutput before_timeout = leader.member.on_timer(EstablishedLeader::kNow + 900'000);
    BOOST_TEST(before_timeout.proposal_results.empty());
    const ConsensusOutput after_timeout = leader.member.on_timer(EstablishedLeader::kNow + 900'001);
    BOOST_REQUIRE(after_timeout.proposal_results.size() == 1U);
    BOOST_TEST((after_timeout.proposal_results.front().outcome == ProposalOutcome::unknown));
    BOOST_TEST(!leader.member.is_established_leader());
}

BOOST_AUTO_TEST_CASE(a_follower_accepts_no_proposal) {
    Consensus follower(member_options("a"), member_state(), kStart);
    ignore(follower.start());
    const ConsensusOutput output = follower.propose(kStart, {71, 2, "two"});
    BOOST_REQUIRE(output.proposal_results.size() == 1U);
    BOOST_TEST((output.proposal_results.front().outcome == ProposalOutcome::unknown));
    BOOST_TEST(!output.must_persist);
}

}  // namespace
}  // namespace gannethold::cluster::tests
