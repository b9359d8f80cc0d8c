// Membership changes, always by joint consensus (Raft, section 6), and planned leaves of members.
#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

#include "cluster/consensus/consensus.hpp"

namespace gannethold::cluster {
namespace {

constexpr Micros kLearnerTimeout = 2'000'000;  // silence after which a learner is dropped

}  // namespace

// ---- the leader ----

// Whether the voter has not answered a heartbeat for the time span.
bool Consensus::is_silent(const std::string& voter, Micros span) const {
    if (is_self(voter)) return false;
    const Peer* const peer = find_peer(voter);
    return !peer || now_ >= peer->last_response + span;
}

std::vector<VoterStatus> Consensus::voter_statuses() const {
    std::vector<VoterStatus> statuses;
    for (const std::string& voter : state_.entry.members) {
        const Peer* const peer = find_peer(voter);
        Micros silent_for = peer ? now_ - peer->last_response : std::numeric_limits<Micros>::max();
        if (is_self(voter)) silent_for = 0;
        statuses.push_back({voter, leaving_members_.contains(voter), silent_for});
    }
    return statuses;
}

std::vector<std::string> Consensus::ready_learners() const {
    std::vector<std::string> ready;
    for (const std::string& learner : learners_) {
        const Peer* const peer = find_peer(learner);
        LearnerProgress progress;
        progress.responds = !is_silent(learner, options_.election_timeout);
        if (peer) progress.match_position = peer->match_position;
        if (options_.rules->has_caught_up(progress, state_.entry.position)) ready.push_back(learner);
    }
    return ready;
}

void Consensus::drop_silent_learners() {
    std::erase_if(learners_,
                  [&](const std::string& learner) { return now_ > last_contact(learner) + kLearnerTimeout; });
}

// Completes the joint change in progress, or begins one if the set of voters should change.
void Consensus::append_membership_change() {
    if (!state_.entry.outgoing_members.empty()) {
        LogEntry next = state_.entry;
        next.outgoing_members.clear();
        append(std::move(next));
        return;
    }
    if (!has_lease(now_)) return;
    const MembershipTimes times{options_.election_timeout, options_.replace_after, options_.remove_after};
    std::vector<std::string> members = plan_voters(voter_statuses(), ready_learners(), times);
    if (members == state_.entry.members) return;
    for (const std::string& member : members) learners_.erase(member);
    append(options_.rules->begin_membership_change(state_.entry, std::move(members)));
}

void Consensus::on_join_request(const std::string& from) {
    if (role_ != Role::leader || is_voter(state_.entry, from) || learners_.contains(from)) return;
    learners_.insert(from);
    Peer& peer = peers_[from];
    peer.reset_progress();
    peer.last_response = 0;
}

// Whether a quorum has stored all committed entries without the member and the other leaving members.
bool Consensus::is_safe_without(const std::string& member) const {
    if (committed_entry_.position != state_.entry.position) return false;
    return quorum_agrees([&](const std::string& voter) {
        return voter != member && !leaving_members_.contains(voter) && has_head(voter);
    });
}

// A leaving voter gets a response once it is no longer needed. If a learner can replace it, that is done
// first, and a later request is answered.
void Consensus::on_leave_request(const std::string& from) {
    if (!is_established_leader()) return;
    if (is_voter(state_.entry, from)) {
        leaving_members_.insert(from);
        append_next_change();
        const bool is_being_replaced = !ready_learners().empty() || !state_.entry.outgoing_members.empty();
        if (is_being_replaced || !is_safe_without(from)) return;
    }
    send(from, LeaveResponse{current_term()});
}

// ---- the leaving member ----

ConsensusOutput Consensus::begin_leaving(Micros now) {
    now_ = now;
    leave_.begin(now);
    report(proposals_.abandon());
    continue_leaving();
    return take_output();
}

void Consensus::continue_leaving() {
    if (!leave_.is_request_due(now_)) return;
    leave_.on_request(now_);
    const bool is_alone = all_voters(state_.entry).size() <= 1;
    if (role_ == Role::non_member || is_alone)
        leave_.allow_stop();
    else if (role_ == Role::leader)
        transfer_leadership();
    else if (!leader_.empty())
        send(leader_, LeaveRequest{});
}

// Leadership transfer (thesis, section 3.10): asks the voter that responded most recently, of those that have
// stored the head, to start an election.
void Consensus::transfer_leadership() {
    std::string successor;
    for (const std::string& voter : state_.entry.members) {
        if (is_self(voter) || leaving_members_.contains(voter) || !has_head(voter)) continue;
        const bool responded_later =
            successor.empty() || peers_[voter].last_response > peers_[successor].last_response;
        if (responded_later) successor = voter;
    }
    if (successor.empty()) return;
    leadership_transferred_ = true;
    send(successor, TimeoutNow{current_term()});
}

void Consensus::on_leave_response(const LeaveResponse& response) {
    if (leave_.has_begun() && response.term == current_term()) leave_.allow_stop();
}

}  // namespace gannethold::cluster
