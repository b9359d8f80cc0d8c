// Log replication by the leader: heartbeats, transfers of entries to the other members, commits and the lease
// (Raft, sections 5.3, 5.4 and 8).
#include <algorithm>
#include <utility>

#include "cluster/consensus/consensus.hpp"

namespace gannethold::cluster {
namespace {

constexpr std::size_t kMaxLargeTransfers = 3;  // concurrent, since they share the leader's uplink
// Election timeouts without responses from a quorum after which a leader steps down, so that clients try
// another member (thesis, section 6.2).
constexpr int kTimeoutsUntilStepDown = 2;
// After a commit the heartbeat interval is divided by this, since followers learn of the commit by the next
// heartbeat.
constexpr int kHeartbeatSpeedUp = 4;

}  // namespace

// ---- lease and contact ----

Micros Consensus::lease_granted_at() const {
    const Micros incoming = lease_granted_by(state_.entry.members);
    if (!options_.rules->needs_outgoing_majority(state_.entry)) return incoming;
    return std::min(incoming, lease_granted_by(state_.entry.outgoing_members));
}

Micros Consensus::lease_granted_by(const std::vector<std::string>& group) const {
    std::vector<Round> answered;
    answered.reserve(group.size());
    for (const std::string& member : group) {
        const Peer* const peer = find_peer(member);
        const Round round = peer ? peer->answered_round : 0;
        answered.push_back(is_self(member) ? lease_.newest_round() : round);
    }
    return lease_.granted_at(std::move(answered));
}

bool Consensus::has_lease(Micros now) const {
    return is_established_leader() && lease_.is_valid(lease_granted_at(), now);
}

bool Consensus::has_quorum_contact() const {
    const Micros since = now_ - kTimeoutsUntilStepDown * options_.election_timeout;
    return quorum_agrees([&](const std::string& voter) {
        const Peer* const peer = find_peer(voter);
        return is_self(voter) || (peer && peer->last_response >= since);
    });
}

// ---- entries and heartbeats ----

// Makes the entry the head, at the next index of the current term. REQUIRES: this is the leader.
void Consensus::append(LogEntry entry) {
    entry.position = {current_term(), state_.entry.position.index + 1};
    state_.entry = std::move(entry);
    add_head_to_history();
    output_.must_persist = true;
    send_heartbeats();
    advance_commit();  // the leader alone is a quorum if there are no other voters
}

// Bodies in transfer are kept as well, since the next transfer to the same member is a delta to them.
void Consensus::add_head_to_history() {
    history_.add(state_.entry, [&](const LogPosition& position) {
        return std::any_of(peers_.begin(), peers_.end(), [&](const auto& peer) {
            return peer.second.sender.is_active() && peer.second.sender.position() == position;
        });
    });
}

void Consensus::send_heartbeats() {
    lease_.begin_round(now_);
    next_heartbeat_ = now_ + options_.heartbeat_interval;
    for (const std::string& voter : all_voters(state_.entry))
        if (!is_self(voter)) send_heartbeat(voter);
    for (const std::string& learner : learners_) send_heartbeat(learner);
}

// Sends a heartbeat, and starts a transfer if one is due.
void Consensus::send_heartbeat(const std::string& to) {
    Peer& peer = peers_[to];
    const LogPosition& head = state_.entry.position;
    const Round round = lease_.newest_round();
    send(to, AppendRequest{current_term(), round, head, committed_entry_.position});
    if (peer.match_position == head || !options_.rules->is_transfer_due(peer.sender, now_)) return;
    start_transfer(peer);
    if (!peer.sender.is_active()) return;
    for (EntryChunk& chunk : options_.rules->first_chunks(peer.sender, current_term(), round, now_))
        send(to, std::move(chunk));
}

std::size_t Consensus::count_large_transfers() const {
    const Micros since = now_ - options_.election_timeout;
    return static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(), [&](const auto& entry) {
        const Peer& peer = entry.second;
        return peer.last_response >= since && peer.sender.is_large();
    }));
}

// Starts the transfer of the head. If it is large and too many large transfers are in progress, the next
// heartbeat tries again.
void Consensus::start_transfer(Peer& peer) {
    const LogPosition base = options_.rules->transfer_base(transfer_base(peer));
    std::shared_ptr<const std::string> payload = history_.payload(state_.entry, base);
    const bool is_large = payload->size() > peer.sender.chunk_bytes();
    if (is_large && count_large_transfers() >= kMaxLargeTransfers) return;
    peer.sender.start(state_.entry.position, base, std::move(payload), now_);
}

LogPosition Consensus::transfer_base(const Peer& peer) const {
    // The position of a peer that has not answered in this term is unknown; most likely it has the entry
    // before the head.
    if (peer.answered_round == 0)
        if (const std::optional<LogPosition> previous = history_.previous()) return *previous;
    return history_.contains(peer.match_position) ? peer.match_position : LogPosition{};
}

void Consensus::send_chunk(const std::string& to, Peer& peer) {
    send(to, peer.sender.chunk(current_term(), lease_.newest_round(), now_));
}

void Consensus::on_append_response(const std::string& from, const AppendResponse& response) {
    if (response.term > current_term()) {
        step_down(response.term);
        return;
    }
    if (role_ != Role::leader || response.term != current_term()) return;
    Peer& peer = peers_[from];
    peer.last_response = now_;
    if (response.leaving)
        leaving_members_.insert(from);
    else
        leaving_members_.erase(from);  // the member has restarted
    // A round that has not been sent yet grants no lease: a member that was suspended may answer heartbeats
    // of an earlier incarnation of this leader.
    if (response.round <= lease_.newest_round())
        peer.answered_round = std::max(peer.answered_round, response.round);
    peer.match_position = response.last_entry;
    if (peer.match_position == state_.entry.position) {
        peer.sender.stop();
        advance_commit();
    } else if (peer.sender.is_active()) {
        continue_transfer(from, peer, response);
    }
}

// A transfer is completed even if its entry is no longer the head, so that the member makes progress while
// the configuration changes frequently.
void Consensus::continue_transfer(const std::string& to, Peer& peer, const AppendResponse& response) {
    EntrySender& sender = peer.sender;
    const bool is_complete = peer.match_position == sender.position();
    const bool is_receiving = response.receiving == sender.position();
    const bool has_other_base =
        !is_receiving && sender.base() != LogPosition{} && peer.match_position != sender.base();
    if (is_complete || has_other_base) {
        sender.stop();
        start_transfer(peer);
        if (sender.is_active()) send_chunk(to, peer);
    } else if (is_receiving && response.received_bytes > sender.offset()) {
        sender.on_confirmed(response.received_bytes, now_);
        send_chunk(to, peer);
    } else if (response.round > sender.sent_in_round()) {
        sender.restart_at(is_receiving ? response.received_bytes : 0);  // the chunk was lost
        send_chunk(to, peer);
    }
}

bool Consensus::has_head(const std::string& voter) const {
    const Peer* const peer = find_peer(voter);
    return is_self(voter) || (peer && peer->match_position == state_.entry.position);
}

// The head always belongs to the leader's current term, so it is committed once a quorum has stored it (Raft,
// section 5.4.2).
void Consensus::advance_commit() {
    if (role_ != Role::leader || committed_entry_.position == state_.entry.position) return;
    if (!quorum_agrees([&](const std::string& voter) { return has_head(voter); })) return;
    committed_entry_ = state_.entry;
    report(proposals_.take_decided(committed_entry_));
    append_next_change();
    next_heartbeat_ = std::min(next_heartbeat_, now_ + options_.heartbeat_interval / kHeartbeatSpeedUp);
}

}  // namespace gannethold::cluster
