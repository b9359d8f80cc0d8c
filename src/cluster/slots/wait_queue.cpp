#include "cluster/slots/wait_queue.hpp"

#include <vector>

namespace gannethold::cluster {

WaitQueue::Ticket WaitQueue::add(const Waiting& waiting) {
    const Ticket ticket = ++last_ticket_;
    all_.emplace(ticket, waiting);
    on_target_.emplace(on_target_key(waiting), ticket);
    becoming_late_.emplace(late_at(waiting), ticket);
    by_latest_start_.emplace(latest_start(waiting), ticket);
    total_work_us_ += static_cast<double>(waiting.work);
    return ticket;
}

void WaitQueue::remove(Ticket ticket) {
    const auto at = all_.find(ticket);
    if (at == all_.end()) return;
    const Waiting& waiting = at->second;
    on_target_.erase({on_target_key(waiting), ticket});
    becoming_late_.erase({late_at(waiting), ticket});
    late_.erase({waiting.since, ticket});
    by_latest_start_.erase({latest_start(waiting), ticket});
    total_work_us_ -= static_cast<double>(waiting.work);
    all_.erase(at);
    if (all_.empty()) total_work_us_ = 0;  // prevents rounding errors from accumulating
}

void WaitQueue::on_proxy_disconnected(Session session) {
    std::vector<Ticket> removed;
    for (const auto& [ticket, waiting] : all_)
        if (waiting.session == session) removed.push_back(ticket);
    for (const Ticket ticket : removed) remove(ticket);
}

void WaitQueue::update_late(Micros now) {
    while (!becoming_late_.empty() && becoming_late_.begin()->first < now) {
        const Ticket ticket = becoming_late_.begin()->second;
        const Waiting& waiting = all_.at(ticket);
        becoming_late_.erase(becoming_late_.begin());
        on_target_.erase({on_target_key(waiting), ticket});
        late_.emplace(waiting.since, ticket);
    }
}

std::optional<WaitQueue::Entry> WaitQueue::next(Micros now, bool late_turn) {
    update_late(now);
    if (all_.empty()) return std::nullopt;
    const bool from_late = !late_.empty() && (late_turn || on_target_.empty());
    const Ticket ticket = from_late ? late_.begin()->second : on_target_.begin()->second;
    return Entry{ticket, &all_.at(ticket)};
}

std::optional<WaitQueue::Entry> WaitQueue::expired(Micros now) const {
    if (by_latest_start_.empty() || now <= by_latest_start_.begin()->first) return std::nullopt;
    const Ticket ticket = by_latest_start_.begin()->second;
    return Entry{ticket, &all_.at(ticket)};
}

std::optional<WaitQueue::Entry> WaitQueue::last_unservable(Micros now, double turn_interval_us) {
    update_late(now);
    if (late_.empty()) return std::nullopt;
    const Ticket ticket = late_.rbegin()->second;
    const Waiting& last = all_.at(ticket);
    const double turn_at_us = static_cast<double>(now) + turn_interval_us * static_cast<double>(late_.size());
    if (turn_at_us <= static_cast<double>(latest_start(last))) return std::nullopt;
    return Entry{ticket, &last};
}

}  // namespace gannethold::cluster
