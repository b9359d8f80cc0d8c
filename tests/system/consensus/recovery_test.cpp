// Recovery of a member that lost its disk or was removed, and joining of a machine (consensus/recovery.cpp).
#include <boost/test/unit_test.hpp>

#include "cluster/consensus/consensus.hpp"
#include "cluster/consensus/entry_history.hpp"
#include "member_fixture.hpp"

namespace gannethold::cluster::tests {
namespace {

constexpr Micros kCandidaciesOver = kStart + 750'000;

Nonce nonce_of(const ConsensusOutput& output) {
    const auto requests = messages_of<RecoveryRequest>(output);
    BOOST_REQUIRE(!requests.empty());
    return requests.front().nonce;
}

// A response stating that b is the leader of the entry's members, and that the recipient may have voted in
// terms up to kTerm + 2.
RecoveryResponse recovery_response(Nonce nonce, const LogEntry& entry) {
    RecoveryResponse response;
    response.nonce = nonce;
    response.term = kTerm;
    response.pre_voted_through = kTerm + 2;
    response.leader = "b";
    response.last_entry = entry.position;
    response.members = entry.members;
    return response;
}

// The entry of member_state() as a complete payload in one chunk.
EntryChunk complete_entry() {
    const LogEntry entry = member_state().entry;
    EntryHistory history;
    EntrySender sender;
    sender.start(entry.position, {}, history.payload(entry, {}), kStart);
    return sender.chunk(kTerm, 1, kStart);
}

BOOST_AUTO_TEST_CASE(a_machine_without_state_queries_the_seeds_and_does_not_vote) {
    Consensus machine(member_options("a"), {}, kStart);
    const ConsensusOutput output = machine.start();
    BOOST_TEST(machine.is_recovering());
    BOOST_REQUIRE(output.messages.size() == 2U);
    BOOST_TEST(output.messages[0].to == "b");
    BOOST_TEST(output.messages[1].to == "c");
    BOOST_TEST(nonce_of(output) != 0U);
    const VoteRequest request = vote_request(kTerm + 1, {kTerm, 8});
    BOOST_TEST(messages_of<VoteResponse>(machine.on_message(kElectionDue, "b", request)).empty());
}

BOOST_AUTO_TEST_CASE(a_voter_that_lost_its_disk_becomes_a_member_again_with_the_newest_state) {
    Consensus member(member_options("a"), {}, kStart);
    const Nonce nonce = nonce_of(member.start());
    const RecoveryResponse response = recovery_response(nonce, member_state().entry);
    ignore(member.on_message(kStart, "b", response));
    ignore(member.on_message(kStart, "c", response));
    // A candidate may still count a vote from before the disk loss.
    BOOST_TEST(
        messages_of<AppendResponse>(member.on_message(kCandidaciesOver - 1, "b", complete_entry())).empty());
    BOOST_TEST(member.is_recovering());
    const ConsensusOutput output = member.on_message(kCandidaciesOver, "b", complete_entry());
    BOOST_TEST(output.must_persist);
    BOOST_TEST(!member.is_recovering());
    BOOST_TEST((member.persistent_state().entry.position == member_state().entry.position));
    BOOST_TEST(member.persistent_state().voting_state.no_vote_through == kTerm + 2);
}

BOOST_AUTO_TEST_CASE(a_machine_that_is_not_a_voter_sends_a_join_request_to_the_leader) {
    Consensus machine(member_options("d"), {}, kStart);
    const Nonce nonce = nonce_of(machine.start());
    const RecoveryResponse response = recovery_response(nonce, member_state().entry);
    BOOST_TEST(messages_of<JoinRequest>(machine.on_message(kStart, "b", response)).empty());
    const ConsensusOutput output = machine.on_message(kStart, "c", response);
    BOOST_REQUIRE(messages_of<JoinRequest>(output).size() == 1U);
    BOOST_TEST(output.messages.front().to == "b");
    // It accepts the state at once, but is not a member yet.
    ignore(machine.on_message(kStart, "b", complete_entry()));
    BOOST_TEST((machine.persistent_state().entry.position == member_state().entry.position));
    BOOST_TEST(machine.is_recovering());
}

BOOST_AUTO_TEST_CASE(a_removed_member_becomes_a_non_member_once_a_quorum_confirms_the_removal) {
    Consensus member(member_options("a"), member_state(), kStart);
    ignore(member.start());
    const Nonce nonce = nonce_of(member.on_timer(kStart + 1'800'001));
    LogEntry newer = member_state().entry;
    newer.position = {kTerm + 1, 10};
    newer.members = {"b", "c", "d"};
    ignore(member.on_message(kStart + 1'800'001, "b", recovery_response(nonce, newer)));
    BOOST_TEST(!member.is_recovering());
    const ConsensusOutput output =
        member.on_message(kStart + 1'800'001, "c", recovery_response(nonce, newer));
    BOOST_TEST(output.must_persist);
    BOOST_TEST(member.is_recovering());
}

BOOST_AUTO_TEST_CASE(a_member_answers_a_recovery_request_with_its_state) {
    Consensus member(member_options("b"), member_state(), kStart);
    ignore(member.start());
    ignore(member.on_message(kStart, "a", heartbeat(kTerm, 5)));
    RecoveryRequest request;
    request.nonce = 77;
    const auto responses = messages_of<RecoveryResponse>(member.on_message(kStart, "c", request));
    BOOST_REQUIRE(responses.size() == 1U);
    BOOST_TEST(responses.front().nonce == 77U);
    BOOST_TEST(responses.front().leader == "a");
    BOOST_TEST(responses.front().term == kTerm);
    BOOST_TEST((responses.front().members == member_state().entry.members));
}

}  // namespace
}  // namespace gannethold::cluster::tests
