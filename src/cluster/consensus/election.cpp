// Leader election (Raft, section 5.2; pre-votes: thesis, section 9.6): candidacies, votes, and the initial
// state of a new leader.
#include <algorithm>
#include <utility>

#include "cluster/consensus/consensus.hpp"

namespace gannethold::cluster {
namespace {

// Time after its start in which a former leader uses short election timeouts: the other members may vote for
// it without waiting for an election timeout.
constexpr Micros kEagerCampaignWindow = 1'200'000;

}  // namespace

void Consensus::restart_election_timer() {
    const bool was_leader = state_.voting_state.last_leader == options_.self && role_ != Role::leader;
    if (was_leader && now_ < started_at_ + kEagerCampaignWindow)
        election_timer_.restart_eagerly(now_);
    else
        election_timer_.restart(now_);
}

// Whether this member may have granted a lease that is still valid to a leader other than the candidate.
bool Consensus::is_bound_by_lease_against(const std::string& candidate) const {
    if (role_ == Role::leader) return has_lease(now_);
    return has_leader_contact() && state_.voting_state.last_leader != candidate;
}

// The next term in which this member may be a candidate. Skips terms in which it must not vote itself and
// terms that a voter has rejected.
Term Consensus::next_term() const {
    return std::max({current_term() + 1, state_.voting_state.no_vote_through + 1, min_next_term_});
}

// `role` is pre_candidate or candidate. Only a candidate increments its term.
void Consensus::start_candidacy(Role role) {
    restart_election_timer();
    leader_.clear();
    if (!is_voter(state_.entry, options_.self)) return;
    if (leave_.has_begun()) return;  // a new leader that stops soon would cause another election
    const Term term = next_term();
    votes_ = {options_.self};
    role_ = role;
    if (role == Role::candidate) {
        state_.voting_state.term = term;
        state_.voting_state.voted_for = options_.self;
        output_.must_persist = true;
    }
    const bool pre_vote = role == Role::pre_candidate;
    for (const std::string& voter : all_voters(state_.entry))
        if (!is_self(voter))
            send(voter, VoteRequest{term, state_.entry.position, pre_vote, is_leadership_transfer_});
    count_votes();
}

void Consensus::on_vote_request(const std::string& from, const VoteRequest& request) {
    if (role_ == Role::non_member) return;  // its lost disk may have held a vote for any candidate
    const bool is_bound_by_lease = is_bound_by_lease_against(from) && !request.leadership_transfer;
    if (request.pre_vote) {
        send(from, decide_pre_vote(request, is_bound_by_lease));
        return;
    }
    // Not answered while another leader's lease may be valid: the candidate has missed heartbeats that others
    // received (Raft, section 6, on disruptive servers). A leader that transfers leadership gives up its
    // lease.
    if (!is_bound_by_lease) send(from, decide_vote(from, request));
}

VoteResponse Consensus::decide_pre_vote(const VoteRequest& request, bool is_bound_by_lease) {
    VotingState& voting_state = state_.voting_state;
    const bool is_up_to_date = request.last_entry >= state_.entry.position;
    const bool may_vote = request.term > voting_state.no_vote_through;
    const bool granted = request.term > voting_state.term && is_up_to_date && !is_bound_by_lease && may_vote;
    if (granted && request.term > voting_state.pre_voted_through) {
        // Persisted, so that a member that loses its disk can learn from a quorum in which terms it may have
        // voted: a candidate gets votes only in terms for which a quorum has granted pre-votes.
        voting_state.pre_voted_through = request.term;
        output_.must_persist = true;
    }
    // Tells a candidate with an older term the last term in which this member does not vote.
    return {request.term, granted, true, std::max(voting_state.no_vote_through, voting_state.term)};
}

// Raft, sections 5.2 and 5.4.1: grants one vote per term, to a candidate that is at least as up-to-date as
// this member.
VoteResponse Consensus::decide_vote(const std::string& from, const VoteRequest& request) {
    VotingState& voting_state = state_.voting_state;
    const bool is_up_to_date = request.last_entry >= state_.entry.position;
    const bool may_vote = request.term > voting_state.no_vote_through;
    if (request.term > voting_state.term) step_down(request.term);
    const bool is_vote_available = voting_state.voted_for.empty() || voting_state.voted_for == from;
    const bool is_current = request.term == voting_state.term && role_ == Role::follower;
    const bool granted = is_current && is_up_to_date && may_vote && is_vote_available;
    if (granted) {
        if (voting_state.voted_for.empty()) output_.must_persist = true;
        voting_state.voted_for = from;
        restart_election_timer();
    }
    return {voting_state.term, granted, false, voting_state.no_vote_through};
}

void Consensus::on_vote_response(const std::string& from, const VoteResponse& response) {
    if (response.pre_vote) {
        if (role_ != Role::pre_candidate || response.term != next_term()) return;
        if (!response.granted && response.no_vote_through >= response.term) {
            // The voter has a newer term or has lost its disk. Requests the pre-vote again at once, in a term
            // in which the voter may grant it.
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
void Consensus::on_timeout_now(const std::string& from, const TimeoutNow& request) {
    if (role_ != Role::follower || request.term != current_term() || from != leader_) return;
    last_leader_contact_ = 0;
    is_leadership_transfer_ = true;
    start_candidacy(Role::pre_candidate);
}

// Enters the term, without a vote, if it is newer than the current one. Returns whether it is; the caller
// must then persist the state.
bool Consensus::adopt_term(Term term) {
    if (term <= state_.voting_state.term) return false;
    state_.voting_state.term = term;
    state_.voting_state.voted_for.clear();
    return true;
}

// Becomes a follower, and enters the term if it is newer. REQUIRES: this is a member.
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
    // The response timeouts of all voters start now.
    for (const std::string& voter : all_voters(state_.entry)) peers_[voter].last_response = now_;
    state_.voting_state.last_leader = options_.self;  // persisted with the entry below
    // An entry of an earlier term becomes committed with the first entry of this term (Raft, sections 5.4.2
    // and 8).
    append(state_.entry);
}

}  // namespace gannethold::cluster
