// Who asks for votes, and who gets them (consensus/election.cpp).
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

#include "cluster/consensus/consensus.hpp"

namespace gannethold::cluster {
namespace {

// The requests for votes, or for pre-votes, of that term in an output.
std::ptrdiff_t count_vote_requests(const ConsensusOutput& output, Number term, bool pre_vote) {
    return std::count_if(output.messages.begin(), output.messages.end(), [&](const auto& envelope) {
        const auto* const request = std::get_if<VoteRequest>(&envelope.message);
        return request && request->term == term && request->pre_vote == pre_vote;
    });
}

std::vector<VoteResponse> vote_responses(const ConsensusOutput& output) {
    std::vector<VoteResponse> responses;
    for (const auto& envelope : output.messages)
        if (const auto* const response = std::get_if<VoteResponse>(&envelope.message))
            responses.push_back(*response);
    return responses;
}

// Members a, b and c. In terms 4 and 5 the lost disk of a may have voted.
struct MemberWithLostDisk {
    MemberWithLostDisk() {
        options.self = "a";
        options.seeds = {"a", "b", "c"};
        state.promise = {true, 3, "a", 5, 0, {}};
        state.entry = {{3, 4}, 1, {"a", "b", "c"}, {}, {}, "x"};
    }
    Consensus::Options options;
    PersistentState state;
};

BOOST_AUTO_TEST_CASE(a_member_that_lost_its_disk_does_not_stand_in_terms_in_which_it_may_have_voted) {
    const MemberWithLostDisk member;
    Consensus consensus(member.options, member.state, 10'000'000);
    ConsensusOutput output = consensus.start();
    BOOST_TEST(output.messages.empty());
    output = consensus.on_timer(12'000'000);
    // Not even by a pre-vote.
    BOOST_TEST(count_vote_requests(output, 4, true) == 0);
    BOOST_TEST(count_vote_requests(output, 5, true) == 0);
    BOOST_TEST(count_vote_requests(output, 6, true) == 2);
    output = consensus.on_message(12'001'000, "b", VoteResponse{4, true, true, 0});
    BOOST_TEST(count_vote_requests(output, 4, false) == 0);
    BOOST_TEST(count_vote_requests(output, 6, false) == 0);
    output = consensus.on_message(12'002'000, "b", VoteResponse{6, true, true, 0});
    BOOST_TEST(count_vote_requests(output, 6, false) == 2);
}

BOOST_AUTO_TEST_CASE(a_member_that_lost_its_disk_votes_in_no_term_in_which_it_may_have_voted) {
    MemberWithLostDisk member;
    member.state.promise.term = 4;
    member.state.promise.voted_for.clear();
    Consensus consensus(member.options, member.state, 10'000'000);
    static_cast<void>(consensus.start());
    const ConsensusOutput output =
        consensus.on_message(12'000'000, "c", VoteRequest{5, {4, 9}, false, false});
    const std::vector<VoteResponse> responses = vote_responses(output);
    BOOST_TEST(std::none_of(responses.begin(), responses.end(),
                            [](const VoteResponse& response) { return response.granted; }));
}

// A candidate whose term is behind learns the voter's from the refusal, and asks for one in which it may get
// the vote.
BOOST_AUTO_TEST_CASE(a_refused_pre_vote_names_the_term_to_ask_for) {
    Consensus::Options options;
    options.self = "a";
    PersistentState state;
    state.promise = {true, 1, {}, 0, 0, {}};
    state.entry = {{1, 8}, 1, {"a", "b", "c"}, {}, {}, "x"};
    Consensus candidate(options, state, 1'000'000);
    static_cast<void>(candidate.start());
    options.self = "b";
    state.promise = {true, 2, "a", 0, 0, {}};
    state.entry.position = {1, 7};
    Consensus voter(options, state, 1'000'000);
    static_cast<void>(voter.start());
    BOOST_TEST(count_vote_requests(candidate.on_timer(3'000'000), 2, true) == 2);
    const std::vector<VoteResponse> responses =
        vote_responses(voter.on_message(3'000'000, "a", VoteRequest{2, {1, 8}, true, false}));
    BOOST_REQUIRE(!responses.empty());
    BOOST_TEST(!responses.front().granted);
    BOOST_TEST(count_vote_requests(candidate.on_message(3'001'000, "b", responses.front()), 3, true) == 2);
}

}  // namespace
}  // namespace gannethold::cluster
