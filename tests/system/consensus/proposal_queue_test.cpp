// At most one committed body per version (consensus/proposal_queue.hpp).
#include <boost/test/unit_test.hpp>

#include "cluster/consensus/confirmed_versions.hpp"
#include "cluster/consensus/proposal_queue.hpp"

namespace gannethold::cluster {
namespace {

// Version 5 is in force; versions 3 and 5 have been committed.
LogEntry committed_entry() {
    LogEntry entry;
    entry.position = {2, 9};
    entry.version = 5;
    entry.confirmed = {{3, 30, 4}, {5, 50, 9}};
    entry.body = "five";
    return entry;
}

BOOST_AUTO_TEST_CASE(a_repeated_proposal_of_a_committed_version_is_decided_at_once) {
    const LogEntry committed = committed_entry();
    BOOST_TEST((decided_outcome(committed, 5, 50) == ProposalOutcome::committed));
    BOOST_TEST((decided_outcome(committed, 5, 51) == ProposalOutcome::conflict));
    BOOST_TEST((decided_outcome(committed, 3, 30) == ProposalOutcome::committed));
    BOOST_TEST(!decided_outcome(committed, 4, 40).has_value());
    BOOST_TEST(!decided_outcome(committed, 6, 60).has_value());
}

BOOST_AUTO_TEST_CASE(a_version_whose_record_may_have_been_dropped_has_an_unknown_outcome) {
    LogEntry committed = committed_entry();
    committed.version = kMaxConfirmedVersions + 10;
    committed.confirmed.clear();
    for (std::size_t index = 0; index < kMaxConfirmedVersions; ++index)
        add_confirmed(committed.confirmed, {index + 11, 1, index});
    BOOST_TEST((decided_outcome(committed, 4, 40) == ProposalOutcome::unknown));
    BOOST_TEST(!decided_outcome(committed, committed.version + 1, 40).has_value());
}

BOOST_AUTO_TEST_CASE(pending_proposals_share_one_entry_with_the_highest_version_in_force) {
    ProposalQueue queue;
    queue.add({1, 7, "seven"}, 70);
    queue.add({2, 8, "eight"}, 80);
    queue.add({3, 8, "another eight"}, 81);
    queue.add({4, 4, "four"}, 40);
    std::optional<LogEntry> next = queue.next_entry(committed_entry());
    BOOST_REQUIRE(next.has_value());
    BOOST_TEST(next->version == 8U);
    BOOST_TEST(next->body == "eight");
    BOOST_TEST(next->confirmed.size() == 5U);
    BOOST_TEST(queue.take_decided(committed_entry()).empty());
    next->position.index = 10;
    const std::vector<ProposalResult> results = queue.take_decided(*next);
    BOOST_REQUIRE(results.size() == 4U);
    BOOST_TEST((results[0].outcome == ProposalOutcome::committed));
    BOOST_TEST((results[1].outcome == ProposalOutcome::committed));
    BOOST_TEST((results[2].outcome == ProposalOutcome::conflict));
    BOOST_TEST((results[3].outcome == ProposalOutcome::committed));
    BOOST_TEST(results[2].id == 3U);
    BOOST_TEST(queue.empty());
}

BOOST_AUTO_TEST_CASE(a_repeated_proposal_of_a_recorded_version_needs_no_entry) {
    ProposalQueue queue;
    queue.add({1, 5, "five"}, 50);
    BOOST_TEST(!queue.next_entry(committed_entry()).has_value());
    const std::vector<ProposalResult> results = queue.take_decided(committed_entry());
    BOOST_REQUIRE(results.size() == 1U);
    BOOST_TEST((results.front().outcome == ProposalOutcome::committed));
}

BOOST_AUTO_TEST_CASE(an_abandoned_proposal_has_an_unknown_outcome) {
    ProposalQueue queue;
    queue.add({1, 7, "seven"}, 70);
    const std::vector<ProposalResult> results = queue.abandon();
    BOOST_REQUIRE(results.size() == 1U);
    BOOST_TEST((results.front().outcome == ProposalOutcome::unknown));
    BOOST_TEST(queue.empty());
}

}  // namespace
}  // namespace gannethold::cluster
