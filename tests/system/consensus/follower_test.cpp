// Handling of heartbeats and entries by a follower (consensus/follower.cpp).
#include <boost/test/unit_test.hpp>

#include "cluster/consensus/consensus.hpp"
#include "cluster/consensus/entry_history.hpp"
#include "member_fixture.hpp"

namespace gannethold::cluster::tests {
namespace {

constexpr Micros kNow = kStart + 100'000;

Consensus started_follower() {
    Consensus follower(member_options("b"), member_state(), kStart);
    ignore(follower.start());
    return follower;
}

LogEntry next_entry() {
    LogEntry entry = member_state().entry;
    entry.position = {kTerm, 9};
    entry.version = 2;
    entry.confirmed.push_back({2, 22, 9});
    entry.body = "two";
    return entry;
}

// The single chunk of the entry's payload, which is a delta to the base; {}: the payload is complete.
EntryChunk chunk_of(const LogEntry& entry, const LogPosition& base) {
    EntryHistory history;
    if (base != LogPosition{}) history.add(member_state().entry, [](const LogPosition&) { return false; });
    EntrySender sender;
    sender.start(entry.position, base, history.payload(entry, base), kNow);
    return sender.chunk(kTerm, 1, kNow);
}

BOOST_AUTO_TEST_CASE(a_heartbeat_is_answered_after_the_leader_is_persisted) {
    Consensus follower = started_follower();
    const ConsensusOutput first = follower.on_message(kNow, "a", heartbeat(kTerm, 5));
    BOOST_TEST(first.must_persist);
    BOOST_TEST(follower.persistent_state().voting_state.last_leader == "a");
    BOOST_TEST(follower.leader() == "a");
    const auto responses = messages_of<AppendResponse>(first);
    BOOST_REQUIRE(responses.size() == 1U);
    BOOST_TEST(responses.front().round == 5U);
    BOOST_TEST((responses.front().last_entry == member_state().entry.position));
    BOOST_TEST(!follower.on_message(kNow, "a", heartbeat(kTerm, 6)).must_persist);
}

BOOST_AUTO_TEST_CASE(a_leader_of_an_older_term_is_sent_the_current_term_and_no_round) {
    Consensus follower = started_follower();
    const auto responses =
        messages_of<AppendResponse>(follower.on_message(kNow, "a", heartbeat(kTerm - 1, 5)));
    BOOST_REQUIRE(responses.size() == 1U);
    BOOST_TEST(responses.front().term == kTerm);
    BOOST_TEST(responses.front().round == 0U);
    BOOST_TEST(follower.leader().empty());
}

BOOST_AUTO_TEST_CASE(an_entry_is_installed_from_a_complete_payload_or_a_delta) {
    const LogEntry entry = next_entry();
    for (const LogPosition& base : {LogPosition{}, member_state().entry.position}) {
        Consensus follower = started_follower();
        const ConsensusOutput output = follower.on_message(kNow, "a", chunk_of(entry, base));
        BOOST_TEST(output.must_persist);
        const LogEntry& installed = follower.persistent_state().entry;
        BOOST_TEST((installed.position == entry.position));
        BOOST_TEST(installed.version == 2U);
        BOOST_TEST(installed.body == "two");
        BOOST_TEST((installed.confirmed == entry.confirmed));
        const auto responses = messages_of<AppendResponse>(output);
        BOOST_REQUIRE(responses.size() == 1U);
        BOOST_TEST((responses.front().last_entry == entry.position));
    }
}

BOOST_AUTO_TEST_CASE(a_delta_to_another_base_and_an_older_entry_are_ignored) {
    Consensus follower = started_follower();
    EntryChunk chunk = chunk_of(next_entry(), member_state().entry.position);
    chunk.base = {kTerm, 7};
    ignore(follower.on_message(kNow, "a", chunk));
    BOOST_TEST((follower.persistent_state().entry.position == member_state().entry.position));
    LogEntry older = next_entry();
    older.position = {kTerm, 7};
    ignore(follower.on_message(kNow, "a", chunk_of(older, {})));
    BOOST_TEST((follower.persistent_state().entry.position == member_state().entry.position));
}

BOOST_AUTO_TEST_CASE(a_payload_that_cannot_be_decoded_is_dropped) {
    Consensus follower = started_follower();
    EntryChunk chunk = chunk_of(next_entry(), {});
    chunk.bytes = std::string(chunk.bytes.size(), '\xff');
    const auto responses = messages_of<AppendResponse>(follower.on_message(kNow, "a", chunk));
    BOOST_REQUIRE(responses.size() == 1U);
    BOOST_TEST((responses.front().last_entry == member_state().entry.position));
}

BOOST_AUTO_TEST_CASE(the_head_is_committed_once_a_heartbeat_reports_it_as_committed) {
    Consensus follower = started_follower();
    BOOST_TEST((follower.committed_entry() == nullptr));
    AppendRequest request = heartbeat(kTerm, 5);
    request.committed = {kTerm, 7};
    ignore(follower.on_message(kNow, "a", request));
    BOOST_TEST((follower.committed_entry() == nullptr));
    request.committed = member_state().entry.position;
    ignore(follower.on_message(kNow, "a", request));
    BOOST_REQUIRE((follower.committed_entry() != nullptr));
    BOOST_TEST(follower.committed_entry()->version == 1U);
}

}  // namespace
}  // namespace gannethold::cluster::tests
