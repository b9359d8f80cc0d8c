// Updates the state for each event, and at the end of each period.
#pragma once

#include "balancer/membership.hpp"

namespace gannethold::balancer {

constexpr int kPeriodsPerHalving = 8;  // long against a period, short against a shift in the load

class EventHandlers : protected Membership {
  protected:
    EventHandlers(const SettingsMap& s, std::uint64_t seed) : Membership(s, seed) { backoff_ = min_wait(); }
    using Membership::on_event;

    void on_event(const TaskArrived& event) {
        ++arrivals_;
        const auto index = static_cast<std::size_t>(event.workload);
        workloads_.resize(std::max(workloads_.size(), index + 1));
        Workload& w = workloads_[index];
        Task t;
        t.arrival = event;
        t.max_assignments = std::min(settings_.max_assignments, 1 + kMaxRetries);
        // What is missing from the full expiry is a retry's age; if retries are marked, a first try has none.
        const Micros age = std::max<Micros>(0, now_ + w.expiry - event.expiry);
        if (w.min_age < 0 || age < w.min_age) w.min_age = age;
        t.created_at = now_ - (event.client_retry || !settings_.marks_retries ? age - w.min_age : 0);
        const bool hinted = event.hint_valid && event.cost_hint > 0;
        t.cost = hinted ? static_cast<double>(event.cost_hint) : w.typical_cost();
        typical_cost_ += (t.cost - typical_cost_) / 64;
        const Micros last = event.expiry - 4 * settings_.tick, due = t.created_at + w.due_time;
        double fastest = 1;
        for (const InstanceType& type : types_) fastest = std::min(fastest, type.smoothed);
        t.due_at = due + (hinted ? static_cast<Micros>(t.cost * std::max(0.0, w.stretch - fastest)) : 0);
        // The duration of a task is unknown; one that waits at a runner keeps a chance while some fits.
        const double lead = w.late_value > 0 ? 0 : static_cast<double>(last - due) / std::max(1.0, w.stretch);
        t.begin_deadline = last - static_cast<Micros>(lead);
        // Keeps late tasks from filling the queue: past its due time a task waits only if a late answer has
        // value, and then for spare slots. One that arrives late still gets a slot that is free at once.
        t.latest_start = t.due_at;
        if (w.late_value > 0) t.latest_start = std::max(t.latest_start, now_ + kProbeTicks * settings_.tick);
        t.latest_start = t.late_from = std::min(t.latest_start, last);
        if (w.late_value > 0)
            t.latest_start = std::max(t.latest_start, event.expiry - static_cast<Micros>(2 * t.cost));
        t.value = settings_.values_work ? w.importance : w.importance / std::max(1.0, w.typical_cost());
        // Tasks beyond this dispatcher's part of a customer's allowance count less.
        const auto id = static_cast<std::size_t>(event.customer);
        if (id < settings_.allowances.size() &&
            !quotas_[event.customer].take(settings_.allowances[id] / settings_.dispatchers, kMinRate, now_))
            t.value *= settings_.surplus_importance;
        enqueue(t);
        tasks_.add(std::move(t));
    }

    void on_event(const AssignmentEnded& event) {
        Runner* r = runners_.find(event.runner);
        Assignment* const a = tasks_.find_assignment(event.task, event.assignment);
        if (!r || !a || a->has_ended) return;
        Task& t = *tasks_.find(event.task);
        a->has_ended = true;
        far_in_flight_ -= a->is_far;
        if (!a->has_begun && (event.outcome == Outcome::full || t.is_closed)) learn_slots(*r, *a, false);
        a->never_ran = proves_never_ran(event.outcome);
        if (event.outcome != Outcome::not_started && event.outcome != Outcome::connect_failed)
            read_report(*r, event.report, true);
        --r->in_flight;
        r->lost = std::min(r->lost - (r->lost > 0 && event.outcome != Outcome::finished), r->in_flight);
        if (r->in_flight == 0 && should_close_idle(*r)) to_close_.push_back(event.runner);
        record_outcome(*r, t, *a, event);
        // A task that was sent in vain may still get the value of a late answer.
        if (workload(t).late_value > 0 && !event.task_answered)
            t.latest_start = std::max(t.latest_start, t.arrival.expiry - static_cast<Micros>(2 * t.cost));
        if (event.task_answered) {
            if (!t.is_closed) close(t);
        } else if (!t.is_closed && !t.is_queued && can_retry(t)) {
            t.is_queued = true;
            enqueue(t);
        } else if (!t.is_closed && !t.is_queued && t.all(&Assignment::has_ended)) {
            reject(t);
        }
        changed_.push_back(event.task);
    }

    void on_event(const ClientDisconnected& event) {
        if (Task* t = tasks_.find(event.task); t && !t->is_closed) close(*t);
    }

    void on_event(const TimerFired&) { next_wake_ = 0; }

    // Open tasks keep their maximum of assignments, and their workload's settings under its old id.
    void on_event(const SettingsChanged& event) {
        settings_ = BalancerSettings(event.settings);
        workloads_ = Workload::reload(workloads_, SettingsReader(event.settings), settings_.workloads,
                                      event.learn_from);
        runners_.add_ready({});
        assign_near();
    }

    void on_event(const DrainDeadline&) {
        for (auto& [id, t] : tasks_.all())
            if (!t.is_closed) reject(t);
    }

    void on_event(const ProbeEnded& event) {
        Runner* r = runners_.find(event.runner);
        if (!r) return;
        r->is_probing = false;
        if (event.outcome == Outcome::finished) {
            r->is_suspected = false;
            read_report(*r, event.report);
        } else if (event.outcome == Outcome::connect_failed || event.outcome == Outcome::reset) {
            suspect(*r, "a probe cannot reach it");
        } else {
            pause(*r);
        }
    }

    void on_event(const CapacityReported& event) {
        if (Runner* r = runners_.find(event.runner)) r->slots = event.slots;
    }

    void on_event(const PeerMessage&) {}  // messages of other dispatchers are not used
    void on_event(const StreamBegun&) {}  // changes no decision

    void on_event(const Progress& event) {
        Runner* r = runners_.find(event.runner);
        Assignment* a = tasks_.find_assignment(event.task, event.assignment);
        if (!r || !a || event.stage != Stage::begun) return;
        a->has_begun = true;
        learn_slots(*r, *a, static_cast<double>(now_ - a->sent_at) < job_seconds_ * 5e4);
    }

    void end_period() {
        job_rate_ += (arrivals_ - job_rate_) / 4;
        arrivals_ = 0;
        double seconds = 0, weight = 0;
        for (const Workload& w : workloads_)
            seconds += w.latency.weight() * w.typical_cost() / 1e6, weight += w.latency.weight();
        if (weight > 0) job_seconds_ = std::clamp(seconds / weight, 0.001, 60.0);
        take_step();
        if (++period_count_ % kPeriodsPerHalving == 0) {
            for (const std::size_t i : runners_.with_samples)
                runners_[i].latency.halve(), runners_[i].has_new_samples = true;
            for (InstanceType& type : types_) type.latency.halve(), type.weight /= 2;
            for (Workload& w : workloads_) w.latency.halve();
            missing_one_ /= 2, missing_more_ /= 2;
        }
    }
};

}  // namespace gannethold::balancer
