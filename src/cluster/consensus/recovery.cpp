// A machine whose disk is empty, or that was left out, asks the others how things stand. If it is a voter
// still, it is a member again once it holds the newest state that a quorum knew of; in terms in which its
// lost disk may have voted it gives no vote. If it is none, it asks the leader to be a learner.
#include <algorithm>

#include "cluster/consensus/consensus.hpp"
#include "cluster/consensus/quorum.hpp"

namespace gannethold::cluster {
namespace {

constexpr Micros kRecoveryRequestInterval = 250'000;

}  // namespace

void Consensus::send_recovery_requests(Output& out) {
    if (now_ < next_recovery_request_) return;
    next_recovery_request_ = now_ + kRecoveryRequestInterval;
    if (nonce_ == 0) {
        nonce_ = random_ | 1;
        recovery_responses_.clear();
    }
    std::set<std::string> all(options_.seeds.begin(), options_.seeds.end());
    const std::vector<std::string> voters = all_voters(state_.entry);
    all.insert(voters.begin(), voters.end());
    for (const auto& [from, response] : recovery_responses_) {
        all.insert(response.members.begin(), response.members.end());
        all.insert(response.outgoing_members.begin(), response.outgoing_members.end());
    }
    all.erase(options_.self);
    for (const std::string& member : all) out.sends.push_back({member, RecoveryRequest{nonce_}});
}

void Consensus::handle(const std::string& from, const RecoveryRequest& request, Output& out) {
    if (role_ == Role::non_member) return;
    const bool knows_leader = role_ == Role::leader || now_ < heard_leader_ + options_.election_timeout;
    out.sends.push_back({from, RecoveryResponse{request.nonce, term(), state_.voting_state.pre_voted_through,
                                                knows_leader ? leader_ : "", state_.entry.position,
                                                state_.entry.members, state_.entry.outgoing_members}});
}

void Consensus::handle(const std::string& from, const RecoveryResponse& response, Output& out) {
    if (response.nonce != nonce_ || nonce_ == 0) return;
    recovery_responses_[from] = response;
    const auto newest = std::max_element(
        recovery_responses_.begin(), recovery_responses_.end(),
        [](const auto& a, const auto& b) { return a.second.last_entry < b.second.last_entry; });
    // As many of the others as a quorum: one of them at least has whatever was committed, even if we had the
    // other copy of it, and has pre-voted in any term in which we may have voted.
    const RecoveryResponse& known = newest->second;
    const auto answered = [&](const std::string& member) {
        return !is_self(member) && recovery_responses_.contains(member);
    };
    if (known.members.empty() || !has_quorum(known.members, known.outgoing_members, answered)) return;
    const bool belongs =
        contains(known.members, options_.self) || contains(known.outgoing_members, options_.self);
    if (!belongs) {
        become_learner(known, out);
        if (role_ == Role::non_member && !response.leader.empty())
            out.sends.push_back({response.leader, JoinRequest{}});
        return;
    }
    if (role_ == Role::non_member)
        await_state(known);
    else
        recovery_responses_.clear();
}

// Left out, or never in: from here on nothing is promised before it is let in again.
void Consensus::become_learner(const RecoveryResponse& newest, Output& out) {
    if (role_ != Role::non_member) {
        const bool newer = newest.last_entry > state_.entry.position;
        const bool left_out = newer || !is_voter(state_.entry, options_.self);
        if (!left_out || role_ == Role::leader) return;
        role_ = Role::non_member;
        state_.voting_state.is_member = false;
        out.write = true;
    }
    joining_ = true;
    awaited_state_.reset();
}

void Consensus::await_state(const RecoveryResponse& newest) {
    joining_ = false;
    Number& term = state_.voting_state.term;
    for (const auto& [from, response] : recovery_responses_) {
        // No heartbeat of an earlier leader is answered: before, it may have voted for a later one.
        if (response.term > term) state_.voting_state.voted_for.clear();
        term = std::max(term, response.term);
        awaited_no_vote_through_ = std::max(awaited_no_vote_through_, response.pre_voted_through);
    }
    awaited_no_vote_through_ = std::max(awaited_no_vote_through_, term);
    awaited_state_ = newest.last_entry;
}

// Whether the leader may bring this non-member the state: it knows whether it belonged here before. If it
// did, a candidate may still count the vote that it gave before its disk was lost, for as long as candidacies
// last.
bool Consensus::accepts_state() const {
    const Micros longest_candidacy = options_.election_timeout * 5 / 3;
    return joining_ || (awaited_state_ && now_ >= started_ + longest_candidacy);
}

// A non-member has got an entry: if that makes it a voter, it is one from here on.
void Consensus::become_member(Output& out) {
    if (!is_voter(state_.entry, options_.self)) return;
    if (awaited_state_ && state_.entry.position < *awaited_state_) return;
    VotingState& voting_state = state_.voting_state;
    voting_state.is_member = true;
    // In these terms its lost disk may have voted.
    voting_state.no_vote_through =
        std::max({voting_state.no_vote_through, awaited_no_vote_through_, voting_state.term});
    voting_state.voted_for = options_.self;
    role_ = Role::follower;
    joining_ = false;
    awaited_state_.reset();
    awaited_no_vote_through_ = 0;
    recovery_responses_.clear();
    nonce_ = 0;
    out.write = true;
    set_election_timer();
}

}  // namespace gannethold::cluster
