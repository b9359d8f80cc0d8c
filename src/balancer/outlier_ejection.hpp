// Outlier ejection: a runner that keeps failing or cannot be reached is ejected for a while, then tried.
#pragma once

#include "balancer/slow_start.hpp"

namespace gannethold::balancer {

constexpr Micros kEjection = 2 * kPeriod;  // up to twice that at random: not all return at once
constexpr double kMaxConnections = 16;     // connections that a runner is assumed to take without harm

class OutlierEjection : protected SlowStart {
  protected:
    using SlowStart::SlowStart;
    void eject(Runner& r, const char* reason, Micros span = kEjection) {
        if (now_ < r.ejected_until) return;
        int ejected = 0;
        for (const Runner& other : runners_) ejected += other.is_ready && now_ < other.ejected_until;
        // If half of the fleet looks bad at once, this dispatcher's own network is more likely at fault.
        if (2 * ejected >= runners_.ready_count) return;
        r.ejected_until = now_ + span + static_cast<Micros>(uniform() * static_cast<double>(span));
        r.is_on_trial = true;
        // An unlisted runner is dropped on its first failure, since no list would report its return.
        if (r.is_unlisted) r.is_ready = r.is_unlisted = false, runners_.remove_from_split(r), update_row(r);
        log_.add(now_, r.entry.runner, reason);
    }

    // One broken connection does not prove that the process died. Where probes can tell, the runner gets
    // nothing until one succeeds. Otherwise, or if the probe fails too, it is ejected, then slow-started.
    void suspect(Runner& r, const char* reason) {
        r.reported_at = -1;
        if (settings_.can_probe && settings_.reports_held && !std::exchange(r.is_suspected, true)) return;
        r.warmup_from = now_;
        eject(r, reason);
    }

    // Hundreds of dispatchers that each keep a connection they rarely use would exceed a runner's limit.
    bool should_close_idle(const Runner& r) const {
        const double uses = job_rate_ * settings_.keepalive_s / std::max(1, runners_.ready_count);
        return period_count_ > 0 && uses < 2 && uses * settings_.dispatchers > kMaxConnections &&
               !(is_partitioned() && r.is_near);
    }

    // A failure counts as the longest possible latency, so that a runner that fails fast does not look fast.
    void record_outcome(Runner& r, const Task& task, const Assignment& assignment, const AssignmentEnded& e) {
        Workload& w = workload(task);
        const bool broke = e.outcome == Outcome::reset || e.outcome == Outcome::connect_failed;
        const bool failed = e.outcome == Outcome::error || e.outcome == Outcome::timed_out || broke;
        const double latency = static_cast<double>(e.elapsed) / task.cost;
        if (e.outcome == Outcome::finished) {
            // Less than two ticks of the clock cannot be told from no wait.
            if (!settings_.reports_starts)
                learn_slots(r, assignment, e.elapsed <= 2 * settings_.tick || latency < 1.5 * latency_of(r));
            add_sample(r, latency);
            types_[r.instance_type()].add(latency);
            w.latency.add(static_cast<double>(e.elapsed) / static_cast<double>(w.due_time));
            r.is_on_trial = r.is_suspected = false;
        } else if (e.outcome == Outcome::full || (failed && e.outcome != Outcome::connect_failed)) {
            add_sample(r, static_cast<double>(w.expiry) / task.cost);
        }
        if (failed || e.outcome == Outcome::finished) r.failure = r.failure * 0.75F + (failed ? 0.25F : 0);
        if (e.outcome == Outcome::full) pause(r);
        if (broke) suspect(r, "it cannot be reached");
        // If a failure loses the task and samples are rare, one failure is enough, and the ejection lasts
        // until the next task would go there: else a hundred dispatchers try a bad runner every few seconds.
        const auto next = static_cast<Micros>(runners_.ready_count / std::max(job_rate_, kMinRate / 4) * 1e6);
        const Micros span = broke || w.can_repeat() ? kEjection : std::clamp(next, kEjection, 8 * kEjection);
        if (r.failure > (span > kEjection ? 0.2 : 0.4)) eject(r, "it keeps failing", span);
    }
};

}  // namespace gannethold::balancer
