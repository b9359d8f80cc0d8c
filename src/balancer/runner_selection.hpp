// Runner selection: draws a runner for a task by the fractions, and decides whether a task may be retried.
#pragma once

#include "balancer/outlier_ejection.hpp"

namespace gannethold::balancer {

constexpr int kMaxRetries = 2;  // also where the settings allow more
constexpr int kProbeTicks = 8;  // clock ticks until a probe counts as unanswered
constexpr int kMaxDraws = 6;    // failed draws before all runners are scanned

class RunnerSelection : protected OutlierEjection {
  protected:
    using OutlierEjection::OutlierEjection;
    // Rule 2, for every assignment: where a task may go next depends on where it may have run.
    bool effect_allows(const Runner& r, const Task& task) {
        const Workload& w = workload(task);
        for (const Assignment& assignment : task.assignments) {
            if (assignment.never_ran) continue;
            if (!assignment.has_ended && !settings_.can_run_in_parallel) return false;
            if (w.effect == Effect::idempotent) continue;
            // With a lead: the window counts from the sending, and a retry arrives a little after it.
            const bool expired = now_ + kProbeTicks * settings_.tick > assignment.sent_at + w.retry_window;
            if (w.effect == Effect::side_effecting || expired) return false;
            const Runner* before = runners_.find(assignment.runner);
            if (!before || !w.is_same_group(before->entry, r.entry)) return false;
        }
        return true;
    }

    bool can_retry(const Task& task) {
        if (now_ < overload_until_ || now_ >= task.latest_start) return false;
        if (static_cast<int>(task.assignments.size()) >= task.max_assignments) return false;
        return workload(task).effect != Effect::side_effecting || task.all(&Assignment::never_ran);
    }

    // A probe that stays unanswered counts as one that found no free slot.
    bool is_open(const Runner& r, bool grow) const {
        return r.is_ready && now_ >= r.ejected_until && (r.is_near || (r.is_in_reach && can_send_far())) &&
               !(r.is_probing && now_ - r.probed_at > kProbeTicks * settings_.tick) &&
               free_slots(r, grow) >= min_free(r) && slow_start_allows(r, typical_cost_ * latency_of(r));
    }

    bool can_take(const Runner& r, const Task& task, bool grow = false) {
        // Late tasks leave one slot free, so that they do not delay tasks that can still be in time.
        const double spare = now_ >= task.late_from ? std::min(1.0, slots_of(r) - 1) : 0;
        const double needed = task.arrival.slots - 1 + spare + min_free(r);
        if (!is_open(r, grow) || free_slots(r, grow) < needed) return false;
        if (!workload(task).fits(r.entry.instance_type) || !r.entry.accepts(task.arrival.workload))
            return false;
        for (const Assignment& assignment : task.assignments)
            if (assignment.runner == r.entry.runner && !assignment.never_ran) return false;
        return effect_allows(r, task) && slow_start_allows(r, slow_start_cost(r, task));
    }

    // Draws by the fractions until a runner can take the task, near ones first. After kMaxDraws failures it
    // draws among the runners with free slots, which are collected once per batch.
    Runner* draw_runner(const Task& task, bool grow = false) {
        for (int n = 0; !has_scanned_ && runners_.near_fraction > 1e-6 && n < kMaxDraws; ++n) {
            double at = uniform() * runners_.near_fraction;
            std::size_t i = 0;
            while (i + 1 < runners_.near_count() && (at -= runners_.split[i].fraction) >= 0) ++i;
            Runner& r = runners_[i];
            // Slow start reduces a runner's share, since other dispatchers draw it unseen.
            if (uniform() <= slow_start_factor(r) && can_take(r, task, grow)) return &r;
        }
        if (!std::exchange(has_scanned_, true)) {
            open_.clear();
            for (Runner& r : runners_)
                if (is_open(r, true)) open_.push_back(&r);
        }
        double sum = 0;
        candidates_.clear();
        for (const bool near : {true, false}) {
            for (Runner* r : open_)
                if (r->is_near == near && can_take(*r, task, grow))
                    candidates_.push_back(r), sum += runners_.row(*r).fraction * slow_start_factor(*r);
            if (!candidates_.empty()) break;
        }
        double at = uniform() * sum;
        for (Runner* r : candidates_)
            if ((at -= runners_.row(*r).fraction * slow_start_factor(*r)) < 0) return r;
        return candidates_.empty() ? nullptr : candidates_.back();
    }
};

}  // namespace gannethold::balancer
