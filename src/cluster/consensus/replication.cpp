// The leader's heartbeats and entries, its lease, and what a follower does with them.
#include <algorithm>
#include <utility>

#include "cluster/configuration/delta.hpp"
#include "cluster/consensus/confirmed_versions.hpp"
#include "cluster/consensus/consensus.hpp"
#include "cluster/consensus/quorum.hpp"
#include "cluster/wire/codec.hpp"

namespace gannethold::cluster {
namespace {

constexpr std::size_t kBodiesKept = 6;          // as bases of differences
constexpr std::size_t kRoundsKept = 64;         // of heartbeats that may still be answered
constexpr std::size_t kMostLargeTransfers = 3;  // at once: they share the leader's link
constexpr int kTimeoutsUntilStepDown = 2;       // without answers of a quorum

}  // namespace

// ---- lease ----

// When the newest heartbeat round was sent that a quorum has answered: until then nobody could have voted
// against us.
Micros Consensus::lease_start() const {
    const Micros incoming = lease_start(state_.entry.members);
    if (state_.entry.outgoing_members.empty() || planted(PlantedFault::count_new_voters_only))
        return incoming;
    return std::min(incoming, lease_start(state_.entry.outgoing_members));
}

Micros Consensus::lease_start(const std::vector<std::string>& group) const {
    std::vector<Number> answered;
    for (const std::string& member : group) {
        const auto peer = peers_.find(member);
        const Number round = peer == peers_.end() ? 0 : peer->second.round;
        answered.push_back(is_self(member) ? round_ : round);
    }
    if (answered.empty()) return 0;
    std::sort(answered.rbegin(), answered.rend());
    const auto sent = round_sent_at_.find(answered[group.size() / 2]);
    return sent == round_sent_at_.end() ? 0 : sent->second;
}

bool Consensus::leads(Micros now) const {
    if (!holds()) return false;
    const Micros start = lease_start();
    return start > 0 && now < start + options_.lease_duration;
}

// A leader that no quorum answers is none: who asks it should look for another.
bool Consensus::hears_quorum() const {
    const Micros since = now_ - kTimeoutsUntilStepDown * options_.election_timeout;
    return quorum_agrees([&](const std::string& voter) {
        const auto peer = peers_.find(voter);
        return is_self(voter) || (peer != peers_.end() && peer->second.answered >= since);
    });
}

// ---- the leader's entries ----

// The newest entries' bodies, and of older ones those that a member is being sent: the next it gets is a
// difference to it.
void Consensus::remember_body() {
    bodies_[state_.entry.position] = state_.entry.body;
    std::size_t surplus = bodies_.size() > kBodiesKept ? bodies_.size() - kBodiesKept : 0;
    for (auto body = bodies_.begin(); surplus > 0; --surplus) {
        const bool needed = std::any_of(peers_.begin(), peers_.end(), [&](const auto& peer) {
            return peer.second.sender.active() && peer.second.sender.position() == body->first;
        });
        body = needed ? std::next(body) : bodies_.erase(body);
    }
}

void Consensus::append(LogEntry entry, Output& out) {
    entry.position = {term(), state_.entry.position.index + 1};
    state_.entry = std::move(entry);
    payloads_.clear();
    remember_body();
    out.write = true;
    send_heartbeats(out);
    advance_commit(out);  // alone it is a quorum
}

void Consensus::send_heartbeats(Output& out) {
    round_sent_at_[++round_] = now_;
    while (round_sent_at_.size() > kRoundsKept) round_sent_at_.erase(round_sent_at_.begin());
    next_heartbeat_ = now_ + options_.heartbeat_interval;
    for (const std::string& voter : all_voters(state_.entry))
        if (!is_self(voter)) send_append(voter, out);
    for (const std::string& learner : learners_) send_append(learner, out);
}

// A heartbeat, and where the member lacks the newest entry and nothing of it is under way, its first chunk.
void Consensus::send_append(const std::string& to, Output& out) {
    Peer& peer = peers_[to];
    out.sends.push_back({to, AppendRequest{term(), round_, state_.entry.position, committed_.position}});
    const bool lacks = peer.held != state_.entry.position;
    if (lacks && planted(PlantedFault::resend_whole_entry)) return resend_whole_entry(to, out);
    if (!lacks || peer.sender.active()) return;
    if (start_transfer(peer)) out.sends.push_back({to, peer.sender.chunk(term(), round_, now_)});
}

// The planted fault, as the code before had it.
void Consensus::resend_whole_entry(const std::string& to, Output& out) {
    constexpr Micros kInterval = 400'000;
    Peer& peer = peers_[to];
    if (peer.sender.active() && now_ < peer.resent + kInterval) return;
    peer.resent = now_;
    peer.sender.start(state_.entry.position, {}, payload_against({}));
    const std::shared_ptr<const std::string> payload = payload_against({});
    const LogPosition& head = state_.entry.position;
    for (Number offset = 0; offset < payload->size(); offset += kMostChunkBytes)
        out.sends.push_back({to, EntryChunk{term(),
                                            round_,
                                            head,
                                            {},
                                            offset,
                                            payload->size(),
                                            payload->substr(offset, kMostChunkBytes)}});
}

std::size_t Consensus::large_transfers() const {
    const Micros since = now_ - options_.election_timeout;
    return static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(), [&](const auto& one) {
        const Peer& peer = one.second;
        return peer.answered >= since && peer.sender.large();
    }));
}

bool Consensus::start_transfer(Peer& peer) {
    const LogPosition base = base_for(peer);
    std::shared_ptr<const std::string> payload = payload_against(base);
    if (payload->size() > peer.sender.chunk_bytes() && large_transfers() >= kMostLargeTransfers) return false;
    peer.sender.start(state_.entry.position, base, std::move(payload));
    return true;
}

// Not heard yet: most likely it holds what stood here before.
LogPosition Consensus::base_for(const Peer& peer) const {
    if (peer.round == 0 && bodies_.size() > 1) return std::prev(bodies_.end(), 2)->first;
    return bodies_.contains(peer.held) ? peer.held : LogPosition{};
}

std::shared_ptr<const std::string> Consensus::payload_against(const LogPosition& base) {
    std::shared_ptr<const std::string>& payload = payloads_[base];
    if (payload) return payload;
    const LogEntry& entry = state_.entry;
    const auto known = bodies_.find(base);
    const std::string_view base_body =
        known == bodies_.end() ? std::string_view() : std::string_view{known->second};
    EntryPayload made{entry.version, entry.members, entry.outgoing_members,
                      confirmed_after(entry.confirmed, base.index), make_delta(base_body, entry.body)};
    payload = std::make_shared<const std::string>(encode_payload(made));
    return payload;
}

void Consensus::handle(const std::string& from, const AppendResponse& response, Output& out) {
    if (response.term > term()) return become_follower(response.term, out);
    if (role_ != Role::leader || response.term != term()) return;
    Peer& peer = peers_[from];
    peer.answered = now_;
    if (response.leaving)
        leaving_members_.insert(from);
    else
        leaving_members_.erase(from);  // it has started anew
    if (response.round <= round_) peer.round = std::max(peer.round, response.round);
    peer.held = response.last_entry;
    const LogPosition& head = state_.entry.position;
    if (peer.held == head) {
        peer.sender.stop();
        return advance_commit(out);
    }
    if (!peer.sender.active()) return;  // the next heartbeat begins
    if (!continue_transfer(peer, response)) return;
    out.sends.push_back({from, peer.sender.chunk(term(), round_, now_)});
}

// What an answer says about the entry under way to that member; whether a chunk is to be sent. An older entry
// than the newest is sent to its end, so that a member comes on however often the configuration changes.
bool Consensus::continue_transfer(Peer& peer, const AppendResponse& response) {
    EntrySender& sender = peer.sender;
    const bool whole = peer.held == sender.position();
    const bool receives = response.receiving == sender.position();
    const bool wrong_base = !receives && sender.base() != LogPosition{} && peer.held != sender.base();
    if (whole || wrong_base) {
        sender.stop();
        return start_transfer(peer);
    }
    if (receives && response.received_bytes > sender.offset()) {
        sender.confirmed(response.received_bytes, now_);
        return true;
    }
    if (response.round <= sender.sent_in_round()) return false;
    sender.restart_at(receives ? response.received_bytes : 0);  // the chunk was lost
    return true;
}

void Consensus::advance_commit(Output& out) {
    const LogPosition& head = state_.entry.position;
    if (role_ != Role::leader || committed_.position == head) return;
    const auto holds_head = [&](const std::string& voter) {
        const auto peer = peers_.find(voter);
        return is_self(voter) || (peer != peers_.end() && peer->second.held == head);
    };
    if (!quorum_agrees(holds_head)) return;
    committed_ = state_.entry;
    resolve_proposals(out);
    append_next_change(out);
    // Followers learn soon that it is committed.
    next_heartbeat_ = std::min(next_heartbeat_, now_ + options_.heartbeat_interval / 4);
}

// ---- a follower ----

// Whether what that leader says is to be followed; the answer is sent where it is not.
bool Consensus::accept_leader(const std::string& from, Number term, Output& out) {
    if (role_ == Role::non_member && !accepts_state()) return false;
    if (term < state_.voting_state.term) {
        answer_leader(from, 0, out);  // no round of this term is answered
        return false;
    }
    const bool other_role = role_ != Role::follower && role_ != Role::non_member;
    if (role_ != Role::non_member && (term > state_.voting_state.term || other_role))
        become_follower(term, out);
    if (role_ == Role::non_member && term > state_.voting_state.term) {
        state_.voting_state.term = term;
        state_.voting_state.voted_for.clear();
        out.write = true;
    }
    leader_ = from;
    heard_leader_ = now_;
    if (state_.voting_state.last_leader != from) {
        state_.voting_state.last_leader = from;  // before the answer that grants the lease
        out.write = true;
    }
    set_election_timer();
    return true;
}

void Consensus::answer_leader(const std::string& from, Number round, Output& out) {
    out.sends.push_back({from, AppendResponse{term(), round, state_.entry.position, receiver_.position(),
                                              receiver_.received(), leaving_}});
}

void Consensus::handle(const std::string& from, const AppendRequest& request, Output& out) {
    if (!accept_leader(from, request.term, out)) return;
    const bool holds_committed = request.committed == state_.entry.position;
    if (holds_committed && committed_.position != request.committed) committed_ = state_.entry;
    answer_leader(from, request.round, out);
}

void Consensus::handle(const std::string& from, const EntryChunk& chunk, Output& out) {
    if (!accept_leader(from, chunk.term, out)) return;
    const bool whole = chunk.base == LogPosition{};
    const bool fits = whole || chunk.base == state_.entry.position;
    if (chunk.position <= state_.entry.position || !fits) return answer_leader(from, chunk.round, out);
    if (const std::optional<std::string> bytes = receiver_.add(chunk)) {
        leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_AUTO(payload, decode_payload(*bytes));
                const std::string_view base =
                    whole ? std::string_view() : std::string_view{state_.entry.body};
                BOOST_LEAF_AUTO(body, apply_delta(base, payload.body_delta));
                std::vector<ConfirmedVersion> confirmed;
                if (!whole) confirmed = state_.entry.confirmed;
                for (const ConfirmedVersion& record : payload.confirmed) add_confirmed(confirmed, record);
                if (whole) bodies_.clear();  // what was held before need not be an ancestor
                install({chunk.position, payload.version, std::move(payload.members),
                         std::move(payload.outgoing_members), std::move(confirmed), std::move(body)},
                        out);
                return {};
            },
            [] {});  // what does not fit is sent again after the answer
    }
    answer_leader(from, chunk.round, out);
}

void Consensus::install(LogEntry entry, Output& out) {
    state_.entry = std::move(entry);
    payloads_.clear();
    out.write = true;
    remember_body();
    if (role_ == Role::non_member) become_member(out);
}

}  // namespace gannethold::cluster
