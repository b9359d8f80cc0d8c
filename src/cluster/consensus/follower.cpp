// Handling of the leader's heartbeats and entries by a follower or a recovering member (Raft, section 5.3).
#include <algorithm>
#include <utility>

#include "cluster/configuration/delta.hpp"
#include "cluster/consensus/confirmed_versions.hpp"
#include "cluster/consensus/consensus.hpp"
#include "cluster/wire/codec.hpp"

namespace gannethold::cluster {

// Follows the sender as the leader of the term. Returns false if it cannot; a sender with an older term is
// sent the current term.
bool Consensus::accept_leader(const std::string& from, Term term) {
    const bool is_member = role_ != Role::non_member;
    if (!is_member && !accepts_state()) return false;
    if (term < current_term()) {
        respond_to_leader(from, 0);  // round 0: grants no lease
        return false;
    }
    if (is_member && (term > current_term() || role_ != Role::follower)) step_down(term);
    if (!is_member && adopt_term(term)) output_.must_persist = true;
    leader_ = from;
    last_leader_contact_ = now_;
    if (state_.voting_state.last_leader != from) {
        // Persisted before the response that grants the lease, which remains binding after a restart.
        state_.voting_state.last_leader = from;
        output_.must_persist = true;
    }
    restart_election_timer();
    return true;
}

void Consensus::respond_to_leader(const std::string& from, Round round) {
    send(from, AppendResponse{current_term(), round, state_.entry.position, receiver_.position(),
                              receiver_.received(), leave_.has_begun()});
}

void Consensus::on_append_request(const std::string& from, const AppendRequest& request) {
    if (!accept_leader(from, request.term)) return;
    const bool is_head_committed = request.committed == state_.entry.position;
    if (is_head_committed && committed_entry_.position != request.committed) committed_entry_ = state_.entry;
    respond_to_leader(from, request.round);
}

void Consensus::on_entry_chunk(const std::string& from, const EntryChunk& chunk) {
    if (!accept_leader(from, chunk.term)) return;
    const bool is_newer = chunk.position > state_.entry.position;
    const bool has_base = chunk.base == LogPosition{} || chunk.base == state_.entry.position;
    if (is_newer && has_base)
        if (const std::optional<std::string> payload = receiver_.add(chunk)) install_payload(chunk, *payload);
    respond_to_leader(from, chunk.round);
}

// Drops a payload that cannot be decoded. The response then shows that the entry is missing, and the leader
// sends it again.
void Consensus::install_payload(const EntryChunk& last_chunk, const std::string& bytes) {
    const bool is_complete = last_chunk.base == LogPosition{};
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(payload, decode_payload(bytes));
            const std::string_view base_body = is_complete ? std::string_view() : state_.entry.body;
            LogEntry entry;
            BOOST_LEAF_ASSIGN(entry.body, apply_delta(base_body, payload.body_delta));
            entry.position = last_chunk.position;
            entry.version = payload.version;
            entry.members = std::move(payload.members);
            entry.outgoing_members = std::move(payload.outgoing_members);
            if (!is_complete) entry.confirmed = state_.entry.confirmed;
            for (const ConfirmedVersion& record : payload.confirmed) add_confirmed(entry.confirmed, record);
            if (is_complete) history_.clear();  // earlier entries may not be ancestors of this one
            install(std::move(entry));
            return {};
        },
        [] {});
}

void Consensus::install(LogEntry entry) {
    state_.entry = std::move(entry);
    output_.must_persist = true;
    add_head_to_history();
    if (role_ == Role::non_member) become_member_if_voter();
}

}  // namespace gannethold::cluster
