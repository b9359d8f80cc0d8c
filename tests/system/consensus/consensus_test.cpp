// A member's calls from outside, and what its leader may do (consensus/consensus.hpp).
#define BOOST_TEST_MODULE consensus
#include <boost/test/unit_test.hpp>

#include "cluster/consensus/consensus.hpp"

namespace gannethold::cluster {
namespace {

// A member that was frozen may answer, in the term of now, heartbeats of an earlier life of the same leader:
// their rounds were never sent in this life, and grant nothing.
BOOST_AUTO_TEST_CASE(an_answer_to_a_round_that_was_not_sent_grants_no_lease) {
    constexpr Micros kNow = 3'000'000;
    Consensus::Options options;
    options.self = "a";
    options.seeds = {"a", "b", "c"};
    options.first_start = true;
    Output out;
    Consensus consensus(options, {}, 1'000'000, out);
    consensus.tick(kNow, out);
    consensus.receive(kNow, "b", VoteResponse{1, true, true, 0}, out);
    consensus.receive(kNow, "b", VoteResponse{1, true, false, 0}, out);
    const LogPosition first = consensus.persistent_state().entry.position;
    consensus.receive(kNow, "b", AppendResponse{1, 1000, first, {}, 0, false}, out);
    BOOST_TEST(consensus.holds());
    BOOST_TEST(!consensus.leads(kNow));
    consensus.receive(kNow, "b", AppendResponse{1, 1, first, {}, 0, false}, out);
    BOOST_TEST(consensus.leads(kNow));
}

}  // namespace
}  // namespace gannethold::cluster
