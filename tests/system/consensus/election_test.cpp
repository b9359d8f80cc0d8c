// Vote requests and votes (consensus/election.cpp).
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

#include "cluster/consensus/consensus.hpp"
#include "member_fixture.hpp"

namespace gannethold::cluster::tests {
namespace {

std::size_t count_vote_requests(const ConsensusOutput& output, Term term, bool pre_vote) {
    const auto requests = messages_of<VoteRequest>(output);
    return static_cast<std::size_t>(std::count_if(requests.begin(), requests.end(), [&](const auto& request) {
        return request.term == term && request.pre_vote == pre_vote;
    }));
}

// A member that may have voted in terms 4 and 5 before it lost its disk.
struct MemberWithLostDisk {
    MemberWithLostDisk() {
        state.voting_state.voted_for = "a";
        state.voting_state.no_vote_through = 5;
    }
    Consensus::Options options = member_options("a");
    PersistentState state = member_state();
};

BOOST_AUTO_TEST_CASE(after_a_disk_loss_a_member_is_no_candidate_in_terms_in_which_it_may_have_voted) {
    const MemberWithLostDisk member;
    Consensus consensus(member.options, member.state, kStart);
    ConsensusOutput output = consensus.start();
    BOOST_TEST(output.messages.empty());
    output = consensus.on_timer(12'000'000);
    // It does not request pre-votes for these terms either.
    BOOST_TEST(count_vote_requests(output, 4, true) == 0U);
    BOOST_TEST(count_vote_requests(output, 5, true) == 0U);
    BOOST_TEST(count_vote_requests(output, 6, true) == 2U);
    output = consensus.on_message(12'001'000, "b", vote(4, true));
    BOOST_TEST(count_vote_requests(output, 4, false) == 0U);
    BOOST_TEST(count_vote_requests(output, 6, false) == 0U);
    output = consensus.on_message(12'002'000, "b", vote(6, true));
    BOOST_TEST(count_vote_requests(output, 6, false) == 2U);
}

BOOST_AUTO_TEST_CASE(after_a_disk_loss_a_member_does_not_vote_in_terms_in_which_it_may_have_voted) {
    MemberWithLostDisk member;
    member.state.voting_state.term = 4;
    member.state.voting_state.voted_for.clear();
    Consensus consensus(member.options, member.state, kStart);
    ignore(consensus.start());
    const ConsensusOutput output = consensus.on_message(12'000'000, "c", vote_request(5, {4, 9}));
    const std::vector<VoteResponse> responses = messages_of<VoteResponse>(output);
    BOOST_TEST(std::none_of(responses.begin(), responses.end(),
                            [](const VoteResponse& response) { return response.granted; }));
}

// A candidate with an older term learns the voter's term from the rejection, and requests a pre-vote for a
// later term.
BOOST_AUTO_TEST_CASE(a_rejected_pre_vote_is_requested_again_for_a_term_after_the_voter_s) {
    PersistentState state = member_state();
    state.entry.position = {kTerm, 9};
    Consensus candidate(member_options("a"), state, kStart);
    ignore(candidate.start());
    state.voting_state.term = kTerm + 1;
    state.voting_state.voted_for = "a";
    state.entry.position = {kTerm, 8};
    Consensus voter(member_options("b"), state, kStart);
    ignore(voter.start());
    BOOST_TEST(count_vote_requests(candidate.on_timer(kElectionDue), kTerm + 1, true) == 2U);
    VoteRequest request = vote_request(kTerm + 1, {kTerm, 9});
    request.pre_vote = true;
    const auto responses = messages_of<VoteResponse>(voter.on_message(kElectionDue, "a", request));
    BOOST_REQUIRE(!responses.empty());
    BOOST_TEST(!responses.front().granted);
    const ConsensusOutput next = candidate.on_message(kElectionDue, "b", responses.front());
    BOOST_TEST(count_vote_requests(next, kTerm + 2, true) == 2U);
}

class StartedVoter {
  public:
    StartedVoter() : member(member_options("b"), member_state(), kStart) { ignore(member.start()); }
    // Whether the voter responds and grants its vote.
    bool grants(const std::string& candidate, const VoteRequest& request, Micros now = kElectionDue) {
        const auto responses = messages_of<VoteResponse>(member.on_message(now, candidate, request));
        return !responses.empty() && responses.front().granted;
    }
    Consensus member;
};

BOOST_AUTO_TEST_CASE(a_member_votes_once_per_term) {
    StartedVoter voter;
    const VoteRequest request = vote_request(kTerm + 1, {kTerm, 8});
    BOOST_TEST(voter.member.on_message(kElectionDue, "a", request).must_persist);
    BOOST_TEST(voter.member.persistent_state().voting_state.voted_for == "a");
    BOOST_TEST(!voter.grants("c", request));
    BOOST_TEST(voter.grants("a", request));
    BOOST_TEST(voter.grants("c", vote_request(kTerm + 2, {kTerm, 8})));
}

BOOST_AUTO_TEST_CASE(a_candidate_without_the_newest_entry_gets_no_vote) {
    StartedVoter voter;
    BOOST_TEST(!voter.grants("a", vote_request(kTerm + 1, {kTerm, 7})));
    BOOST_TEST(!voter.grants("a", vote_request(kTerm + 2, {kTerm - 1, 9})));
    BOOST_TEST(voter.grants("a", vote_request(kTerm + 3, {kTerm, 9})));
}

BOOST_AUTO_TEST_CASE(a_lease_prevents_votes_for_others_unless_the_leader_transfers_leadership) {
    StartedVoter voter;
    ignore(voter.member.on_message(kElectionDue, "c", heartbeat(kTerm, 5)));
    VoteRequest request = vote_request(kTerm + 1, {kTerm, 8});
    BOOST_TEST(voter.member.on_message(kElectionDue + 449'999, "a", request).messages.empty());
    BOOST_TEST(voter.member.current_term() == kTerm);
    request.leadership_transfer = true;
    BOOST_TEST(voter.grants("a", request, kElectionDue + 449'999));
}

BOOST_AUTO_TEST_CASE(a_restarted_leader_gets_votes_at_once) {
    StartedVoter voter;
    ignore(voter.member.on_message(kElectionDue, "c", heartbeat(kTerm, 5)));
    BOOST_TEST(voter.grants("c", vote_request(kTerm + 1, {kTerm, 8}), kElectionDue));
}

BOOST_AUTO_TEST_CASE(a_pre_vote_does_not_change_the_term_and_is_persisted) {
    StartedVoter voter;
    VoteRequest request = vote_request(kTerm + 1, {kTerm, 8});
    request.pre_vote = true;
    const ConsensusOutput output = voter.member.on_message(kElectionDue, "a", request);
    BOOST_TEST(output.must_persist);
    BOOST_TEST(voter.member.current_term() == kTerm);
    BOOST_TEST(voter.member.persistent_state().voting_state.pre_voted_through == kTerm + 1);
}

}  // namespace
}  // namespace gannethold::cluster::tests
