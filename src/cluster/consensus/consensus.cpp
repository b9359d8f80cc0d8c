#include "cluster/consensus/consensus.hpp"

#include <algorithm>
#include <utility>

#include "cluster/consensus/quorum.hpp"

namespace gannethold::cluster {

Consensus::Consensus(Options options, PersistentState state, Micros now, Output& out)
    : options_(std::move(options)),
      state_(std::move(state)),
      now_(now),
      started_(now),
      heard_leader_(now),
      random_(options_.random_seed * 2 + 1) {
    if (!state_.voting_state.is_member && options_.first_start && contains(options_.seeds, options_.self)) {
        // All founders were told the same seeds, so all found the same core; whoever is no founder asks to be
        // let in.
        state_.voting_state.is_member = true;
        state_.entry.position = {0, 1};
        state_.entry.members = options_.seeds;
        out.write = true;
    }
    if (state_.voting_state.is_member) {
        role_ = Role::follower;
        remember_body();
    }
    next_recovery_request_ = now;
    set_election_timer();
    tick(now, out);
}

Micros Consensus::heard_from(const std::string& member) const {
    const auto at = peers_.find(member);
    return at == peers_.end() ? 0 : at->second.heard;
}

void Consensus::receive(Micros now, const std::string& from, const Message& message, Output& out) {
    now_ = now;
    if (is_self(from)) return;
    peers_[from].heard = now;
    std::visit(
        [&](const auto& typed) {
            if constexpr (requires { handle(from, typed, out); }) handle(from, typed, out);
        },
        message);
    tick(now, out);
}

void Consensus::tick(Micros now, Output& out) {
    constexpr int kTimeoutsUntilAsking = 4;
    now_ = now;
    if (role_ == Role::leader && !hears_quorum()) become_follower(term(), out);
    if (role_ == Role::leader) {
        drop_silent_learners();
        append_next_change(out);
        if (now >= next_heartbeat_) send_heartbeats(out);
    }
    const bool may_campaign = role_ != Role::leader && role_ != Role::non_member;
    if (may_campaign && now >= election_at_) {
        // One that was left out is told so by nobody's votes: it asks how things stand.
        if (now > heard_leader_ + kTimeoutsUntilAsking * options_.election_timeout)
            send_recovery_requests(out);
        handed_over_ = false;
        campaign(true, out);
    }
    const bool hears_leader = now < heard_leader_ + options_.election_timeout;
    if (role_ == Role::non_member && !(accepts_state() && hears_leader)) send_recovery_requests(out);
    if (leaving_) continue_leaving(out);

    if (role_ == Role::leader)
        next_tick_ = next_heartbeat_;
    else if (role_ == Role::non_member)
        next_tick_ = std::max(next_recovery_request_, now + options_.heartbeat_interval);
    else
        next_tick_ = election_at_;
    if (leaving_ && !may_end_) next_tick_ = std::min(next_tick_, next_leave_request_);
}

}  // namespace gannethold::cluster
