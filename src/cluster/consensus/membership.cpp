// Who votes: learners come in, silent voters and leavers are replaced, always by joint consensus.
//
// The number of voters stays odd: an even number bears no more losses than one less. A machine that comes is
// a learner until it holds the newest entry. Then it takes the place of a voter that is silent or leaves;
// without such a one two learners come in together, and a single one stands by. A voter that only restarts
// stays a voter.
#include <algorithm>
#include <iterator>
#include <utility>

#include "cluster/consensus/consensus.hpp"
#include "cluster/consensus/quorum.hpp"

namespace gannethold::cluster {
namespace {

constexpr Micros kLeaveInterval = 50'000;  // between requests of a member that leaves
constexpr std::size_t kLeastMembers = 3;   // to which the core may shrink
constexpr Number kReadyLag = 2;            // entries that a learner may lack still as it becomes a voter
constexpr Micros kLearnerForgotten = 2'000'000;  // silence of a learner

}  // namespace

// ---- the leader ----

bool Consensus::silent(const std::string& voter, Micros span) const {
    if (is_self(voter)) return false;
    const auto peer = peers_.find(voter);
    return peer == peers_.end() || now_ >= peer->second.answered + span;
}

std::vector<std::string> Consensus::ready_learners() const {
    std::vector<std::string> ready;
    for (const std::string& learner : learners_) {
        if (planted(PlantedFault::learner_votes_at_once)) ready.push_back(learner);
        if (planted(PlantedFault::learner_votes_at_once)) continue;
        const auto peer = peers_.find(learner);
        if (peer == peers_.end() || silent(learner, options_.election_timeout)) continue;
        const LogPosition& held = peer->second.held;
        const LogPosition& head = state_.entry.position;
        if (held.term == head.term && held.index + kReadyLag >= head.index) ready.push_back(learner);
    }
    return ready;
}

void Consensus::drop_silent_learners() {
    for (auto learner = learners_.begin(); learner != learners_.end();) {
        const Micros heard = last_contact(*learner);
        learner = now_ > heard + kLearnerForgotten ? learners_.erase(learner) : std::next(learner);
    }
}

// The voters that there should be: learners take the places of those that go, and come in so that the number
// is odd.
std::vector<std::string> Consensus::wanted_members() const {
    std::vector<std::string> members = state_.entry.members;
    std::vector<std::string> ready = ready_learners();
    for (std::string& member : members) {
        const bool goes = leaving_members_.contains(member) || silent(member, options_.replace_after);
        if (!goes || ready.empty()) continue;
        member = ready.back();
        ready.pop_back();
    }
    const std::size_t to_odd = members.size() % 2 == 0 ? 1 : 2;
    // Whoever comes while a voter may be going may be its successor.
    const bool all_answer = std::none_of(members.begin(), members.end(), [&](const std::string& member) {
        const bool comes = contains(ready, member) || !contains(state_.entry.members, member);
        return !comes && (leaving_members_.contains(member) || silent(member, options_.election_timeout));
    });
    if (all_answer && ready.size() >= to_odd) {
        const auto first = ready.end() - static_cast<std::ptrdiff_t>(to_odd);
        members.insert(members.end(), first, ready.end());
    }
    if (members == state_.entry.members) remove_gone(members, to_odd);
    return members;
}

// Nobody comes: the core goes on without voters that have left or are gone for long, so that it bears the
// next loss.
void Consensus::remove_gone(std::vector<std::string>& members, std::size_t count) const {
    std::vector<std::string> gone;
    std::copy_if(members.begin(), members.end(), std::back_inserter(gone), [&](const std::string& member) {
        return leaving_members_.contains(member) || silent(member, options_.remove_after);
    });
    if (gone.size() < count || members.size() < kLeastMembers + count) return;
    for (std::size_t i = 0; i < count; ++i) std::erase(members, gone[i]);
}

// Begins or ends a joint change; whether it did.
bool Consensus::append_membership_change() {
    if (!state_.entry.outgoing_members.empty()) {
        LogEntry next = state_.entry;
        next.outgoing_members.clear();
        append(std::move(next));
        return true;
    }
    if (!has_lease(now_)) return false;
    std::vector<std::string> members = wanted_members();
    if (members == state_.entry.members) return false;
    for (const std::string& member : members) learners_.erase(member);
    LogEntry next = state_.entry;
    next.outgoing_members = std::exchange(next.members, std::move(members));
    if (planted(PlantedFault::change_without_joint_step)) next.outgoing_members.clear();
    append(std::move(next));
    return true;
}

void Consensus::handle(const std::string& from, const JoinRequest&) {
    if (role_ != Role::leader || is_voter(state_.entry, from) || learners_.contains(from)) return;
    learners_.insert(from);
    Peer& peer = peers_[from];
    peer.round = 0;
    peer.held = {};
    peer.answered = 0;
    peer.sender.stop();
}

// Whether all that is committed is held by a quorum of which that member is none.
bool Consensus::safe_without(const std::string& member) const {
    const LogPosition& head = state_.entry.position;
    if (committed_.position != head) return false;
    return has_quorum(state_.entry, [&](const std::string& voter) {
        if (voter == member || leaving_members_.contains(voter)) return false;
        const auto peer = peers_.find(voter);
        return is_self(voter) || (peer != peers_.end() && peer->second.held == head);
    });
}

void Consensus::handle(const std::string& from, const LeaveRequest&) {
    if (role_ != Role::leader || !is_established_leader()) return;
    if (is_voter(state_.entry, from)) {
        leaving_members_.insert(from);
        append_next_change();
        const bool replaceable = !ready_learners().empty();
        if (replaceable || !state_.entry.outgoing_members.empty() || !safe_without(from)) return;
    }
    output_.messages.push_back({from, LeaveResponse{current_term()}});
}

// ---- the one that leaves ----

ConsensusOutput Consensus::begin_leaving(Micros now) {
    now_ = now;
    leaving_ = true;
    next_leave_request_ = now;
    fail_proposals();
    continue_leaving();
    return take_output();
}

void Consensus::continue_leaving() {
    if (may_end_ || now_ < next_leave_request_) return;
    next_leave_request_ = now_ + kLeaveInterval;
    const bool alone = all_voters(state_.entry).size() <= 1;
    if (role_ == Role::non_member || alone) {
        may_end_ = true;
        return;
    }
    if (role_ == Role::leader)
        hand_over();
    else if (!leader_.empty())
        output_.messages.push_back({leader_, LeaveRequest{}});
}

// The voter that answered last of those who hold the newest entry is asked to stand for election.
void Consensus::hand_over() {
    std::string best;
    for (const std::string& voter : state_.entry.members) {
        if (is_self(voter) || leaving_members_.contains(voter)) continue;
        if (peers_[voter].held != state_.entry.position) continue;
        if (best.empty() || peers_[voter].answered > peers_[best].answered) best = voter;
    }
    if (best.empty()) return;
    resigned_ = true;
    output_.messages.push_back({best, TimeoutNow{current_term()}});
}

void Consensus::handle(const std::string&, const LeaveResponse& response) {
    if (leaving_ && response.term == current_term()) may_end_ = true;
}

}  // namespace gannethold::cluster
