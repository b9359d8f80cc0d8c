// Who asks for votes, and who gets them (consensus/election.cpp).
#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "cluster/consensus/consensus.hpp"

namespace gannethold::cluster {
namespace {

// The requests for votes, or for pre-votes, of that term in an output.
std::ptrdiff_t vote_requests(const Output& out, Number term, bool pre_vote) {
    return std::count_if(out.sends.begin(), out.sends.end(), [&](const Output::Envelope& envelope) {
        const auto* const request = std::get_if<VoteRequest>(&envelope.message);
        return request && request->term == term && request->pre_vote == pre_vote;
    });
}

BOOST_AUTO_TEST_CASE(a_lost_disk_counts_no_vote_of_its_own) {
    Consensus::Options options;
    options.self = "a";
    options.seeds = {"a", "b", "c"};
    PersistentState state;
    state.promise = {true, 3, "a", 5, 0, {}};
    state.entry = {{3, 4}, 1, {"a", "b", "c"}, {}, {}, "x"};
    Output out;
    Consensus consensus(options, state, 10'000'000, out);
    consensus.tick(12'000'000, out);
    // In terms 4 and 5 its lost disk may have voted for another: it does not stand in them, by a pre-vote
    // neither.
    BOOST_TEST(vote_requests(out, 4, true) == 0);
    BOOST_TEST(vote_requests(out, 5, true) == 0);
    BOOST_TEST(vote_requests(out, 6, true) == 2);
    out = {};
    consensus.receive(12'001'000, "b", VoteResponse{4, true, true, 0}, out);
    BOOST_TEST(vote_requests(out, 4, false) == 0);
    BOOST_TEST(vote_requests(out, 6, false) == 0);
    consensus.receive(12'002'000, "b", VoteResponse{6, true, true, 0}, out);
    BOOST_TEST(vote_requests(out, 6, false) == 2);
    // And it gives none in them.
    out = {};
    PersistentState voter = state;
    voter.promise.term = 4;
    voter.promise.voted_for.clear();
    Consensus other(options, voter, 10'000'000, out);
    out = {};
    other.receive(12'000'000, "c", VoteRequest{5, {4, 9}, false, false}, out);
    const auto granted =
        std::count_if(out.sends.begin(), out.sends.end(), [](const Output::Envelope& envelope) {
            const auto* const response = std::get_if<VoteResponse>(&envelope.message);
            return response && response->granted;
        });
    BOOST_TEST(granted == 0);
}

// A candidate whose term is behind learns the voter's from the refusal, and asks for one in which it may get
// the vote.
BOOST_AUTO_TEST_CASE(a_refused_pre_vote_names_the_term_to_ask_for) {
    Consensus::Options options;
    options.self = "a";
    PersistentState state;
    state.promise = {true, 1, {}, 0, 0, {}};
    state.entry = {{1, 8}, 1, {"a", "b", "c"}, {}, {}, "x"};
    Output out;
    Consensus candidate(options, state, 1'000'000, out);
    options.self = "b";
    state.promise = {true, 2, "a", 0, 0, {}};
    state.entry.position = {1, 7};
    Consensus voter(options, state, 1'000'000, out);
    out = {};
    candidate.tick(3'000'000, out);
    BOOST_TEST(vote_requests(out, 2, true) == 2);
    out = {};
    voter.receive(3'000'000, "a", VoteRequest{2, {1, 8}, true, false}, out);
    const auto refusal =
        std::find_if(out.sends.begin(), out.sends.end(), [](const Output::Envelope& envelope) {
            return std::holds_alternative<VoteResponse>(envelope.message);
        });
    BOOST_REQUIRE((refusal != out.sends.end()));
    const VoteResponse refused = std::get<VoteResponse>(refusal->message);
    BOOST_TEST(!refused.granted);
    out = {};
    candidate.receive(3'001'000, "b", refused, out);
    BOOST_TEST(vote_requests(out, 3, true) == 2);
}

}  // namespace
}  // namespace gannethold::cluster
