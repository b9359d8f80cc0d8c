// Membership: applies the list. A runner that is draining, gone or missing gets no further task.
#pragma once

#include "balancer/task_queue.hpp"

namespace gannethold::balancer {

constexpr double kNearParts = 2;    // dispatchers near each runner: a task from each fills its usual slots
constexpr double kReachParts = 12;  // parts in which a dispatcher meets each runner often enough to know it

class Membership : protected TaskQueue {
  protected:
    using TaskQueue::TaskQueue;
    void on_event(const MembershipUpdate& update) {
        const bool is_list = update.scope != UpdateScope::dynamic_workers;
        is_fetching_ = is_fetching_ && !is_list;
        if (update.scope == UpdateScope::failed) {
            is_watching_ = false;
            fetch_at_ = now_ + static_cast<Micros>(static_cast<double>(backoff_) * (0.5 + uniform()));
            backoff_ =
                std::min(backoff_ * 2, settings_.poll_limit / 4 * std::max(1, settings_.dispatchers / 8));
            return;
        }
        if (is_list && update.scope != UpdateScope::cached) is_watching_ = true, backoff_ = min_wait();
        if (settings_.polls_membership && update.scope == UpdateScope::cached && min_wait() > kPeriod / 4)
            fetch_at_ = now_ + static_cast<Micros>(uniform() * static_cast<double>(min_wait() - kPeriod / 4));
        runners_.add_ready(update.entries);
        if (is_list && update.scope != UpdateScope::delta)
            runners_.retain_listed(update.entries, !settings_.only_draining);
        // The mean fraction is proportional to the weights in the list; without weights all are equal.
        double weights = 0;
        for (const Runner& r : runners_) weights += r.is_ready ? r.entry.weight : 0;
        for (const EndpointEntry& e : update.entries) {
            if (settings_.only_draining && e.state == RunnerState::draining) drains_[e.runner] = e.started_at;
            if (Runner* r = runners_.find(e.runner)) update_runner(*r, e, weights > 0 ? 1 / weights : 1);
        }
        assign_near();
    }

    // Near is where capacity is known: the own zone if runners report it, else an own part of a ring of all
    // runners by id, each as long as its weight. A runner is near if its middle lies within kNearParts parts
    // from the own start on, and so near to that many dispatchers, or if it covers that start.
    void assign_near() {
        double total = 0, at = 0;
        std::map<RunnerId, Runner*> order;
        const bool ring = is_partitioned();
        for (Runner& r : runners_) {
            r.is_near = r.is_in_reach = r.entry.pulls || !ring;
            if (!ring) r.is_near = r.entry.pulls || !settings_.reports_held || r.entry.zone == settings_.zone;
            if (r.is_ready && !r.entry.pulls && ring) order[r.entry.runner] = &r, total += r.entry.weight;
        }
        const double part = total / settings_.dispatchers, start = part * settings_.index;
        for (auto& [id, r] : order) {
            double after = at + r->entry.weight / 2 - start;
            if (after < 0) after += total;
            r->is_near = after < kNearParts * part || (at <= start && start < at + r->entry.weight);
            r->is_in_reach = r->is_near || after < kReachParts * part;
            r->max_near_dispatchers = kNearParts + r->entry.weight / part;
            at += r->entry.weight;
        }
        runners_.sort_near_first();
        runners_.rebuild_split();
        for (const Runner& r : runners_) update_row(r);
    }

    // Discovery serves requests in turn, so a fleet that repeats requests sooner than all can be served keeps
    // it busy with requests that have timed out: the backoff grows with the number of dispatchers.
    Micros min_wait() const {
        const Micros upper = std::max(kPeriod, settings_.poll_limit) / 4;
        return std::clamp(kPeriod / 16 * settings_.dispatchers, kPeriod / 4, upper);
    }

    void update_runner(Runner& r, const EndpointEntry& e, double fraction_per_weight) {
        // Where only draining binds, lists may be wrong: a runner reported gone is used while it answers, and
        // one that was reported draining stays so until it restarts, whatever an older list then says.
        r.is_unlisted = settings_.only_draining && r.is_ready && e.state == RunnerState::gone;
        if (r.is_unlisted) return;
        const auto drained = drains_.find(e.runner);
        const bool is_drained = drained != drains_.end() && e.started_at <= drained->second;
        const bool has_started = e.started_at > r.entry.started_at || !r.is_ready;
        r.entry = e;
        if (r.entry.weight <= 0) r.entry.weight = 1;  // a runner without a weight would never be drawn
        r.is_ready = e.state == RunnerState::ready && !is_drained;
        if (r.instance_type() >= types_.size()) types_.resize(r.instance_type() + 1);
        if (!r.is_ready || !has_started) return;
        // A new process starts with the mean fraction and without own estimates.
        r.fraction = r.entry.weight * fraction_per_weight;
        r.latency.clear();
        if (r.is_restored) r.slots = 0;
        r.has_samples = r.has_new_samples = r.is_on_trial = r.is_suspected = r.is_restored = false;
        r.min_latency = r.failure = 0, r.ejected_until = 0;
        r.warmup_from = e.started_at > 0 ? std::min(e.started_at, now_) : -1;
    }
};

}  // namespace gannethold::balancer
