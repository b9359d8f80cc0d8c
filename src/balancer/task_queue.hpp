// The queue: tasks that find no free slot wait here, most valuable first, and are rejected when too late.
#pragma once

#include <limits>
#include <tuple>

#include "balancer/runner_selection.hpp"

namespace gannethold::balancer {

constexpr int kMaxProbes = 2;  // while tasks wait: more would ask the same runners for the same slot

class TaskQueue : protected RunnerSelection {
  protected:
    using RunnerSelection::RunnerSelection;
    void reject(Task& task) {
        const bool safe = workload(task).can_repeat() || task.all(&Assignment::never_ran);
        task.answer = safe ? FinalAnswer::bounce : FinalAnswer::abandon;
        // A retry of a late task has little value, so the client is asked to wait as long as possible.
        task.retry_after = settings_.max_retry_after;
        close(task);
    }

    void close(Task& task) {
        task.is_closed = true;
        task.is_queued = false;
        for (Assignment& a : task.assignments) a.is_wanted = false;
        changed_.push_back(task.arrival.task);
    }

    // The most valuable first, then the newest: under overload the oldest would all be served just too late.
    // Used for a heap, since a long queue is seldom processed to its end.
    bool goes_after(const Task* a, const Task* b) const {
        const auto rank = [this](const Task* t) {
            return std::tuple(now_ > t->due_at, -t->value, -t->created_at, t->arrival.task);
        };
        return rank(b) < rank(a);
    }

    // The tasks still in the queue; rejects those that are too late.
    std::vector<Task*> collect_queued() {
        std::vector<Task*> queued;
        queue_deadline_ = std::numeric_limits<Micros>::max();
        for (const TaskId id : queue_) {
            Task* const t = tasks_.find(id);
            if (!t || !t->is_queued) continue;
            if (!t->is_late && now_ >= t->late_from) overload_until_ = now_ + kPeriod, t->is_late = true;
            if (now_ >= t->latest_start) reject(*t);
            if (t->is_closed) continue;
            queued.push_back(t);
            queue_deadline_ = std::min(queue_deadline_, t->is_late ? t->latest_start : t->late_from);
        }
        return queued;
    }

    void enqueue(const Task& task) {
        queue_.push_back(task.arrival.task);
        queue_deadline_ = std::min(queue_deadline_, task.late_from);
    }

    void dispatch_queue() {
        if (queue_.empty()) return;
        // While no runner is open a long queue is not processed for every event.
        const auto open = [this](const Runner& r) { return is_open(r, true); };
        if (now_ < queue_deadline_ && std::none_of(runners_.begin(), runners_.end(), open)) return;
        has_scanned_ = false;
        int probing = 0;
        for (const Runner& r : runners_)
            probing += r.is_probing && now_ - r.probed_at <= kProbeTicks * settings_.tick;
        const auto after = [this](const Task* a, const Task* b) { return goes_after(a, b); };
        std::vector<Task*> queued = collect_queued();
        std::make_heap(queued.begin(), queued.end(), after);
        queue_.clear();
        for (auto end = queued.end(); end != queued.begin();) {
            if (!has_scanned_ || !open_.empty()) std::pop_heap(queued.begin(), end, after);
            Task& t = **--end;
            queue_.push_back(t.arrival.task);
            if (has_scanned_ && open_.empty()) continue;
            Runner* r = t.preferred_runner ? runners_.find(*t.preferred_runner) : nullptr;
            if (!r || !can_take(*r, t)) r = draw_runner(t);
            if (!r && !settings_.reports_held) r = draw_runner(t, true);
            t.preferred_runner.reset();
            if (r && has_fresh_report(*r)) {
                queue_.pop_back();
                send(t, *r);
                if (has_scanned_ && !is_open(*r, true)) open_.erase(std::find(open_.begin(), open_.end(), r));
                continue;
            }
            if (r) t.preferred_runner = r->entry.runner;
            // Probes cost, and of all tasks that wait for a slot, in any dispatcher, the newest should get
            // it: the longer a task waits, the less often it causes a probe.
            if (!r || r->is_probing || now_ < t.next_probe_at || probing >= kMaxProbes) continue;
            t.next_probe_at = now_ + (now_ - t.created_at) / 16;
            if (!std::exchange(r->wants_probe, true)) to_probe_.push_back(r->entry.runner), ++probing;
        }
    }

    void send(Task& task, Runner& r) {
        task.is_queued = false;
        ++r.in_flight;
        r.last_sent = now_;
        task.assignments.push_back({r.entry.runner, now_, occupancy(r)});
        if (occupancy(r) > slots_of(r)) r.next_growth_at = now_ + 16 * kPeriod;
        if (is_partitioned() && !r.is_near) task.assignments.back().is_far = true, ++far_in_flight_;
        if (settings_.reports_starts) unstarted_.emplace(task.begin_deadline, task.arrival.task);
        record_slow_start_send(r, slow_start_cost(r, task));
        changed_.push_back(task.arrival.task);
    }

    // Where runners report when a task begins, one that waits at a runner is rejected once it is too late to
    // begin. It is not moved: a withdrawal may come too late, and duplicated work delays all other tasks.
    void reject_unstarted() {
        while (!unstarted_.empty() && unstarted_.begin()->first <= now_) {
            Task* const t = tasks_.find(unstarted_.begin()->second);
            unstarted_.erase(unstarted_.begin());
            if (!t || t->is_closed || t->is_queued) continue;
            const Assignment& a = t->assignments.back();
            if (!a.has_begun && !a.has_ended) reject(*t);
        }
    }
};

}  // namespace gannethold::balancer
