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
    Consensus consensus(options, {}, 1'000'000);
    static_cast<void>(consensus.start());
    static_cast<void>(consensus.on_timer(kNow));
    static_cast<void>(consensus.on_message(kNow, "b", VoteResponse{1, true, true, 0}));
    static_cast<void>(consensus.on_message(kNow, "b", VoteResponse{1, true, false, 0}));
    const LogPosition first = consensus.persistent_state().entry.position;
    static_cast<void>(consensus.on_message(kNow, "b", AppendResponse{1, 1000, first, {}, 0, false}));
    BOOST_TEST(consensus.is_established_leader());
    BOOST_TEST(!consensus.has_lease(kNow));
    static_cast<void>(consensus.on_message(kNow, "b", AppendResponse{1, 1, first, {}, 0, false}));
    BOOST_TEST(consensus.has_lease(kNow));
}

}  // namespace
}  // namespace gannethold::cluster
