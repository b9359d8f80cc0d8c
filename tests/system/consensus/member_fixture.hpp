// Members of a core with the voters a, b and c, for tests of single calls.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "cluster/consensus/consensus.hpp"

namespace gannethold::cluster::tests {

constexpr Micros kStart = 10'000'000;
// Later than the maximum duration of a candidacy after the start: all leases have expired, and an election is
// due.
constexpr Micros kElectionDue = kStart + 800'000;
constexpr Term kTerm = 3;  // the term of member_state()

inline Consensus::Options member_options(const std::string& self) {
    Consensus::Options options;
    options.self = self;
    options.seeds = {"a", "b", "c"};
    return options;
}

// A member that has not voted in its term, with version 1 as its newest configuration.
inline PersistentState member_state() {
    PersistentState state;
    state.voting_state.is_member = true;
    state.voting_state.term = kTerm;
    state.entry.position = {kTerm, 8};
    state.entry.version = 1;
    state.entry.members = {"a", "b", "c"};
    state.entry.confirmed = {{1, 11, 8}};
    state.entry.body = "one";
    return state;
}

// The messages of the type in an output.
template <class MessageType>
std::vector<MessageType> messages_of(const ConsensusOutput& output) {
    std::vector<MessageType> found;
    for (const ConsensusOutput::OutboundMessage& outbound : output.messages)
        if (const auto* const message = std::get_if<MessageType>(&outbound.message))
            found.push_back(*message);
    return found;
}

// For calls whose output the test does not check.
inline void ignore(const ConsensusOutput&) {}

inline VoteResponse vote(Term term, bool pre_vote) {
    VoteResponse response;
    response.term = term;
    response.granted = true;
    response.pre_vote = pre_vote;
    return response;
}

inline VoteRequest vote_request(Term term, LogPosition last_entry) {
    VoteRequest request;
    request.term = term;
    request.last_entry = last_entry;
    return request;
}

// A response stating that the member has the entry on disk.
inline AppendResponse append_response(Term term, Round round, LogPosition last_entry) {
    AppendResponse response;
    response.term = term;
    response.round = round;
    response.last_entry = last_entry;
    return response;
}

inline AppendRequest heartbeat(Term term, Round round) {
    AppendRequest request;
    request.term = term;
    request.round = round;
    return request;
}

// Member a as the established leader of the term after kTerm, at the time kElectionDue. Member b has voted
// for it and has stored its first entry.
class EstablishedLeader {
  public:
    static constexpr Term kLeaderTerm = kTerm + 1;
    static constexpr Micros kNow = kElectionDue;

    EstablishedLeader() : member(member_options("a"), member_state(), kStart) {
        ignore(member.start());
        ignore(member.on_timer(kNow));
        ignore(member.on_message(kNow, "b", vote(kLeaderTerm, true)));
        ignore(member.on_message(kNow, "b", vote(kLeaderTerm, false)));
        confirm("b", 1);
    }

    LogPosition head() const { return member.persistent_state().entry.position; }
    // Delivers a response of the member to the heartbeat round, which states that it has the head on disk.
    ConsensusOutput confirm(const std::string& from, Round round, Micros now = kNow) {
        return member.on_message(now, from, append_response(kLeaderTerm, round, head()));
    }

    Consensus member;
};

}  // namespace gannethold::cluster::tests
