// Recovery of a member that lost its disk or was removed, and joining of new machines (recovery_state.hpp).
#include <algorithm>

#include "cluster/consensus/consensus.hpp"

namespace gannethold::cluster {

void Consensus::send_recovery_requests() {
    if (!recovery_.is_request_due(now_)) return;
    const RecoveryRequest request = recovery_.make_request(now_, election_timer_.last_random() | 1);
    std::set<std::string> recipients = recovery_.reported_voters();
    recipients.insert(options_.seeds.begin(), options_.seeds.end());
    const std::vector<std::string> voters = all_voters(state_.entry);
    recipients.insert(voters.begin(), voters.end());
    recipients.erase(options_.self);
    for (const std::string& recipient : recipients) send(recipient, request);
}

void Consensus::on_recovery_request(const std::string& from, const RecoveryRequest& request) {
    if (role_ == Role::non_member) return;
    const bool is_leader_known = role_ == Role::leader || has_leader_contact();
    const LogEntry& head = state_.entry;
    send(from, RecoveryResponse{request.nonce, current_term(), state_.voting_state.pre_voted_through,
                                is_leader_known ? leader_ : "", head.position, head.members,
                                head.outgoing_members});
}

void Consensus::on_recovery_response(const std::string& from, const RecoveryResponse& response) {
    if (!recovery_.add_response(from, response) || !recovery_.has_quorum_without(options_.self)) return;
    const RecoveryResponse& newest = recovery_.newest_response();
    const bool is_listed_voter =
        contains(newest.members, options_.self) || contains(newest.outgoing_members, options_.self);
    if (!is_listed_voter) {
        become_learner(newest);
        if (role_ == Role::non_member && !response.leader.empty()) send(response.leader, JoinRequest{});
    } else if (role_ == Role::non_member) {
        // Does not follow leaders of earlier terms: before its disk was lost, this member may have voted for
        // a later leader.
        adopt_term(recovery_.newest_term());
        recovery_.await_state(current_term());
    } else {
        recovery_.clear_responses();
    }
}

// Called when this machine was removed or has never been a member. It does not vote or grant leases until it
// is a member again.
void Consensus::become_learner(const RecoveryResponse& newest) {
    if (role_ != Role::non_member) {
        const bool is_newer = newest.last_entry > state_.entry.position;
        const bool was_removed = is_newer || !is_voter(state_.entry, options_.self);
        if (!was_removed || role_ == Role::leader) return;
        role_ = Role::non_member;
        state_.voting_state.is_member = false;
        output_.must_persist = true;
    }
    recovery_.accept_any_state();
}

bool Consensus::accepts_state() const {
    return recovery_.accepts_state(now_ >= started_at_ + election_timer_.max_candidacy_duration());
}

// Called when a non-member has installed an entry. It becomes a member if the entry lists it as a voter and
// is recent enough.
void Consensus::become_member_if_voter() {
    if (!is_voter(state_.entry, options_.self)) return;
    if (!recovery_.is_satisfied_by(state_.entry.position)) return;
    VotingState& voting_state = state_.voting_state;
    voting_state.is_member = true;
    voting_state.no_vote_through =
        std::max({voting_state.no_vote_through, recovery_.no_vote_through(), voting_state.term});
    voting_state.voted_for = options_.self;  // no other member gets its vote in this term
    role_ = Role::follower;
    recovery_.finish();
    output_.must_persist = true;
    restart_election_timer();
}

}  // namespace gannethold::cluster
