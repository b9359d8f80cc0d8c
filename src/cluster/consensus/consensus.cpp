// The public interface of Consensus: timers and incoming messages.
#include "cluster/consensus/consensus.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace gannethold::cluster {
namespace {

// Election timeouts without a leader after which a follower asks the other members whether it was removed.
// They do not answer the vote requests of a removed member, so it would not find out otherwise.
constexpr int kTimeoutsUntilRecovery = 4;

template <class... Handlers>
struct Overloaded : Handlers... {
    using Handlers::operator()...;
};
template <class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace

Consensus::Consensus(Options options, PersistentState state, Micros now)
    : options_(std::move(options)),
      state_(std::move(state)),
      now_(now),
      started_at_(now),
      election_timer_(options_.election_timeout, options_.random_seed),
      last_leader_contact_(now),
      lease_(options_.lease_duration),
      recovery_(now) {}

ConsensusOutput Consensus::start() {
    if (!state_.voting_state.is_member && options_.bootstrap) bootstrap_core();
    if (state_.voting_state.is_member) {
        role_ = Role::follower;
        add_head_to_history();
    }
    restart_election_timer();
    run_due_work();
    return take_output();
}

// Creates the initial membership from the seed addresses. All seed members have the same list, so they create
// the same core. A machine that is not in the list asks to join.
void Consensus::bootstrap_core() {
    if (!contains(options_.seeds, options_.self)) return;
    state_.voting_state.is_member = true;
    state_.entry.position = {0, 1};
    state_.entry.members = options_.seeds;
    output_.must_persist = true;
}

ConsensusOutput Consensus::on_message(Micros now, const std::string& from, const Message& message) {
    now_ = now;
    if (is_self(from)) return {};
    peers_[from].last_contact = now;
    dispatch(from, message);
    run_due_work();
    return take_output();
}

void Consensus::dispatch(const std::string& from, const Message& message) {
    std::visit(Overloaded{
                   [&](const VoteRequest& request) { on_vote_request(from, request); },
                   [&](const VoteResponse& response) { on_vote_response(from, response); },
                   [&](const TimeoutNow& request) { on_timeout_now(from, request); },
                   [&](const AppendRequest& request) { on_append_request(from, request); },
                   [&](const EntryChunk& chunk) { on_entry_chunk(from, chunk); },
                   [&](const AppendResponse& response) { on_append_response(from, response); },
                   [&](const JoinRequest&) { on_join_request(from); },
                   [&](const LeaveRequest&) { on_leave_request(from); },
                   [&](const LeaveResponse& response) { on_leave_response(response); },
                   [&](const RecoveryRequest& request) { on_recovery_request(from, request); },
                   [&](const RecoveryResponse& response) { on_recovery_response(from, response); },
                   [](const auto&) {},  // messages between proxies and the coordinator
               },
               message);
}

ConsensusOutput Consensus::on_timer(Micros now) {
    now_ = now;
    run_due_work();
    return take_output();
}

void Consensus::run_due_work() {
    if (role_ == Role::leader && !has_quorum_contact()) step_down(current_term());
    if (role_ == Role::leader) {
        drop_silent_learners();
        append_next_change();
        if (now_ >= next_heartbeat_) send_heartbeats();
    }
    campaign_if_due();
    if (role_ == Role::non_member && !(accepts_state() && has_leader_contact())) send_recovery_requests();
    continue_leaving();
    next_timer_ = compute_next_timer();
}

void Consensus::campaign_if_due() {
    const bool may_campaign = role_ != Role::leader && role_ != Role::non_member;
    if (!may_campaign || now_ < election_timer_.due_at()) return;
    if (now_ > last_leader_contact_ + kTimeoutsUntilRecovery * options_.election_timeout)
        send_recovery_requests();
    is_leadership_transfer_ = false;
    start_candidacy(Role::pre_candidate);
}

Micros Consensus::compute_next_timer() const {
    Micros next = election_timer_.due_at();
    if (role_ == Role::leader) next = next_heartbeat_;
    if (role_ == Role::non_member)
        next = std::max(recovery_.next_request_at(), now_ + options_.heartbeat_interval);
    if (leave_.has_begun() && !leave_.can_stop()) next = std::min(next, leave_.next_request_at());
    return next;
}

void Consensus::send(const std::string& to, Message message) {
    output_.messages.push_back({to, std::move(message)});
}

const Peer* Consensus::find_peer(const std::string& member) const {
    const auto found = peers_.find(member);
    return found == peers_.end() ? nullptr : &found->second;
}

bool Consensus::is_established_leader() const {
    return role_ == Role::leader && committed_entry_.position.term == current_term() &&
           !leadership_transferred_;
}

const LogEntry* Consensus::committed_entry() const {
    return committed_entry_.position > LogPosition{} ? &committed_entry_ : nullptr;
}

Micros Consensus::last_contact(const std::string& member) const {
    const Peer* const peer = find_peer(member);
    return peer ? peer->last_contact : 0;
}

}  // namespace gannethold::cluster
