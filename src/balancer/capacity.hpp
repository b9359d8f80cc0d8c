// Capacity: what a runner holds and what it can still take, by its reports or else by how soon tasks begin.
#pragma once

#include "balancer/gradient_step.hpp"

namespace gannethold::balancer {

class Capacity : protected GradientStep {
  protected:
    using GradientStep::GradientStep;
    // ended: the report came with the end of an assignment, which some runners still count, others not.
    void read_report(Runner& r, const Report& report, bool ended = false) {
        auto load = RunnerLoad::read(settings_.report_names, report);
        if (!load) return;
        r.busy = static_cast<float>(load->busy);
        if (r.busy > 0) add_sample(r, 0);
        if (load->held < 0) return void(r.slots = std::max(r.slots, load->free_slots));
        // A runner that never counts the ended task is short by just one, a stale report by any number.
        if (ended && load->held < r.active()) ++(load->held + 1 < r.active() ? missing_more_ : missing_one_);
        if (ended && missing_one_ > 32 * (missing_more_ + 1)) ++load->held;
        // On a dead connection an end is never reported: what the runner no longer holds counts as lost.
        if (r.in_flight > 0 && now_ - r.last_sent > 32 * settings_.tick)
            r.lost = std::max(0, r.in_flight - static_cast<int>(load->held));
        if (load->held < r.active()) return;
        r.slots = std::max(1.0, load->free_slots + std::max(0.0, load->held - load->waiting));
        InstanceType& type = types_[r.instance_type()];
        type.slots += (r.slots - type.slots) / (type.slots > 0 ? 16 : 1);
        r.others_in_flight = load->held - r.active();
        r.reported_at = now_;
    }

    void add_sample(Runner& r, double latency) {
        // Two consecutive samples off by more than a factor of 3 invalidate restored estimates.
        const bool off = latency > 0 && (latency > 3 * r.smoothed || 3 * latency < r.smoothed);
        if (r.is_restored && (r.contradictions = off ? r.contradictions + 1 : 0) > 1) {
            r.latency.clear(), r.is_restored = false, r.min_latency = 0;
            // The restored fraction goes too: gradient steps alone would need many periods to correct it.
            runners_.row(r).fraction = 1.0 / std::max(1, runners_.ready_count);
            runners_.normalize();
        }
        r.latency.add(latency);
        r.has_new_samples = true;
        if (r.has_samples) return;
        r.smoothed = r.min_latency = latency_of(r);
        r.has_samples = true;
        runners_.with_samples.push_back(runners_.index_of(r));
    }

    // Sends nothing for half a typical task, the time until a slot is likely to become free.
    void pause(Runner& r) { r.full_until = now_ + static_cast<Micros>(job_seconds_ * 5e5); }

    double occupancy(const Runner& r) const {
        if (!settings_.reports_held || r.reported_at < 0) return r.active();
        // Tasks of other dispatchers end unseen; without the decay a full runner would stay full for ever.
        const double age = static_cast<double>(now_ - r.reported_at) / 1e6;
        return r.active() + r.others_in_flight * std::exp(-age / job_seconds_ / 2);
    }

    double free_slots(const Runner& r, bool grow) const {
        if (r.entry.pulls) return r.slots - r.in_flight;
        if (now_ < r.full_until) return 0;
        const double slots = r.is_on_trial ? 1 : std::max(1.0, std::floor(slots_of(r) + 0.5));
        const bool extra = grow && !settings_.reports_held && !r.is_on_trial && now_ >= r.next_growth_at;
        return slots + extra - occupancy(r);
    }

    bool has_fresh_report(const Runner& r) const {
        if (!settings_.can_probe || !settings_.reports_held || r.entry.pulls) return true;
        return r.reported_at >= 0 && static_cast<double>(now_ - r.reported_at) < job_seconds_ * 1e5;
    }

    // Without reports the slots show in what begins, or ends, without a wait. If no other runner is open one
    // more is tried: at once after a task that did not wait, else rarely, since if all dispatchers tried one
    // each period, one would always be extra. Starts at far runners set the limit of far assignments.
    void learn_slots(Runner& r, const Assignment& a, bool quick) {
        if (settings_.reports_held || r.entry.pulls) return;
        if (a.is_far) max_far_ = std::clamp(quick ? max_far_ + 0.7 : max_far_ * 0.8, 1.0, 32.0);
        if (quick && a.occupancy > r.slots) r.slots = std::floor(a.occupancy), r.next_growth_at = now_;
        if (!quick && a.occupancy <= slots_of(r)) r.slots = std::max(1.0, slots_of(r) - 0.5);
    }

    // Keeps dispatchers under overload from flooding runners whose load they cannot see: the limit follows
    // the number of far assignments that began soon, and is at least one.
    bool can_send_far() const { return !is_partitioned() || far_in_flight_ < max_far_; }

    // With a stale report less is required, since a probe will follow: a slot freed by others is still found.
    double min_free(const Runner& r) const { return has_fresh_report(r) ? 0.5 : 0.25; }
};

}  // namespace gannethold::balancer
