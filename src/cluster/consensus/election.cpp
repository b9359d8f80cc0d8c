// Elections (Raft, section 5.2; pre-votes: thesis, section 9.6): who becomes a candidate, who gets votes, and
// what a new leader starts with.
#include <algorithm>
#include <utility>

#include "cluster/consensus/consensus.hpp"

namespace gannethold::cluster {
namespace {

// How long after its start a former leader campaigns eagerly: all members that are up may vote for it at
// once.
constexpr Micros kEagerSpan = 1'200'000;

}  // namespace

void Consensus::restart_election_timer() {
    const bool led_before = state_.promise.last_leader == options_.self && role_ != Role::leader;
    if (led_before && now_ < started_at_ + kEagerSpan)
        election_timer_.restart_eagerly(now_);
    else
        election_timer_.restart(now_);
}

// Whether this member may owe its vote to the lease of a leader that is not the candidate.
bool Consensus::may_owe_lease_to_other_than(const std::string& candidate) const {
    if (role_ == Role::leader) return has_lease(now_);
    return has_leader_contact() && state_.promise.last_leader != candidate;
}

// The next term in which this member may stand: none in which it gives no vote, or for which a voter has
// refused its vote.
Term Consensus::next_term() const {
    return std::max({current_term() + 1, state_.promise.no_vote_through + 1, min_next_term_});
}

// role: pre_candidate or candidate. Only a candidate enters the new term.
void Consensus::start_candidacy(Role role) {
    restart_election_timer();
    leader_.clear();
    if (!is_voter(state_.entry, options_.self)) return;
    if (leave_.is_begun()) return;  // a leader that is about to stop would cost another election
    const Term term = next_term();
    votes_ = {options_.self};
    role_ = role;
    if (role == Role::candidate) {
        state_.promise.term = term;
        state_.promise.voted_for = options_.self;
        output_.must_persist = true;
    }
    const bool pre_vote = role == Role::pre_candidate;
    for (const std::string& voter : all_voters(state_.entry))
        if (!is_self(voter))
            send(voter, VoteRequest{term, state_.entry.position, pre_vote, is_leadership_transfer_});
    count_votes();
}

void Consensus::handle_request_vote(const std::string& from, const VoteRequest& request) {
    if (role_ == Role::non_member) return;  // its lost disk may have promised anything
    const bool owes_lease = may_owe_lease_to_other_than(from) && !request.leader_hands_over;
    if (request.pre_vote) {
        send(from, decide_pre_vote(request, owes_lease));
        return;
    }
    // No response while a lease may be owed: the candidate missed heartbeats that others received (Raft,
    // section 6, on disruptive servers). A leader that transfers leadership has given up its lease.
    if (!owes_lease) send(from, decide_vote(from, request));
}

VoteResponse Consensus::decide_pre_vote(const VoteRequest& request, bool owes_lease) {
    Promise& promise = state_.promise;
    const bool is_up_to_date = request.held >= state_.entry.position;
    const bool may_vote = request.term > promise.no_vote_through;
    const bool granted = request.term > promise.term && is_up_to_date && !owes_lease && may_vote;
    if (granted && request.term > promise.pre_voted_through) {
        // On disk: a member that loses its disk learns from a quorum in which terms it may have voted, since
        // no candidate had a vote in a term that a quorum had not pre-granted.
        promise.pre_voted_through = request.term;
        output_.must_persist = true;
    }
    // A candidate whose term is behind learns the first one in which it may get this vote.
    return {request.term, granted, true, std::max(promise.no_vote_through, promise.term)};
}

// Raft, sections 5.2 and 5.4.1: one vote a term, for a candidate that is as up to date as this member.
VoteResponse Consensus::decide_vote(const std::string& from, const VoteRequest& request) {
    Promise& promise = state_.promise;
    const bool is_up_to_date = request.held >= state_.entry.position;
    const bool may_vote = request.term > promise.no_vote_through;
    if (request.term > promise.term) step_down(request.term);
    const bool is_vote_free = promise.voted_for.empty() || promise.voted_for == from;
    const bool is_current = request.term == promise.term && role_ == Role::follower;
    const bool granted = is_current && is_up_to_date && may_vote && is_vote_free;
    if (granted) {
        if (promise.voted_for.empty()) output_.must_persist = true;
        promise.voted_for = from;
        restart_election_timer();
    }
    return {promise.term, granted, false, promise.no_vote_through};
}

void Consensus::handle_vote_response(const std::string& from, const VoteResponse& response) {
    if (response.pre_vote) {
        if (role_ != Role::pre_candidate || response.term != next_term()) return;
        if (!response.granted && response.no_vote_through >= response.term) {
            // The voter has a newer term or has lost its disk: the vote is asked for at once in a term in
            // which it may be given.
            min_next_term_ = response.no_vote_through + 1;
            start_candidacy(Role::pre_candidate);
            return;
        }
    } else {
        if (response.term > current_term()) {
            step_down(response.term);
            return;
        }
        if (role_ != Role::candidate || response.term != current_term()) return;
    }
    if (response.granted) votes_.insert(from);
    count_votes();
}

void Consensus::count_votes() {
    if (!quorum_agrees([&](const std::string& voter) { return votes_.contains(voter); })) return;
    if (role_ == Role::pre_candidate)
        start_candidacy(Role::candidate);
    else if (role_ == Role::candidate)
        become_leader();
}

// Leadership transfer (thesis, section 3.10): starts an election without waiting for a timeout.
void Consensus::handle_timeout_now(const std::string& from, const TimeoutNow& request) {
    if (role_ != Role::follower || request.term != current_term() || from != leader_) return;
    last_leader_contact_ = 0;
    is_leadership_transfer_ = true;
    start_candidacy(Role::pre_candidate);
}

// Enters a term in which no vote is given yet, if it is newer than the current one; whether it is. To be
// persisted by the caller.
bool Consensus::adopt_term(Term term) {
    if (term <= state_.promise.term) return false;
    state_.promise.term = term;
    state_.promise.voted_for.clear();
    return true;
}

// Becomes a follower, in that term if it is newer. REQUIRES: this is a member.
void Consensus::step_down(Term term) {
    if (adopt_term(term)) output_.must_persist = true;
    if (role_ == Role::leader) {
        report(proposals_.abandon());
        leader_.clear();
        leadership_transferred_ = false;
    }
    role_ = Role::follower;
    is_leadership_transfer_ = false;
    votes_.clear();
    restart_election_timer();
}

void Consensus::become_leader() {
    role_ = Role::leader;
    leader_ = options_.self;
    is_leadership_transfer_ = false;
    leadership_transferred_ = false;
    lease_.reset();
    learners_.clear();
    leaving_members_.clear();
    for (auto& [member, peer] : peers_) peer.reset_progress();
    // From here on each has the full time to answer.
    for (const std::string& voter : all_voters(state_.entry)) peers_[voter].last_response = now_;
    state_.promise.last_leader = options_.self;  // persisted with the entry below
    // What an earlier term may have committed is committed with the first entry of this one (Raft, sections
    // 5.4.2 and 8).
    append(state_.entry);
}

}  // namespace gannethold::cluster
