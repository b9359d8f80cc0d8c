// The split of the normal path (docs/design.md): once a period a clamped step to the least marginal delay.
#pragma once

#include "balancer/balancer_state.hpp"
#include "gradient/gradient.hpp"

namespace gannethold::balancer {

constexpr Micros kPeriod = 1'000'000;  // as in the design
constexpr double kMinRate = 3;         // the design's floor for the own job rate

class GradientStep : protected BalancerState {
  protected:
    using BalancerState::BalancerState;
    // Smooths the latencies, with the instance type's as prior. Only what has new samples is recomputed.
    void update_estimates() {
        double log_sum = 0, weight = 0;
        for (InstanceType& k : types_) log_sum += k.weight * std::log2(k.smoothed), weight += k.weight;
        if (weight > 0) typical_latency_ = std::exp2(log_sum / weight);
        for (InstanceType& k : types_) {
            if (!k.has_new_samples) continue;
            k.update_latency(typical_latency_);
            for (Runner& r : runners_)
                if (&types_[r.instance_type()] == &k) update_row(r);
        }
        for (const std::size_t i : runners_.with_samples)
            runners_[i].update_latency(types_[runners_[i].instance_type()].smoothed), update_row(runners_[i]);
    }

    // Sets the marginal delay, and scales the step by the runner's own second derivative, as in Newton's
    // method (paper, section 5): a bound over all stations is too small to move anything.
    void update_row(const Runner& r) {
        const double t = latency_of(r), s = r.has_samples ? r.min_latency : t;
        SplitRow& row = runners_.row(r);
        row.marginal = !r.is_ready ? HUGE_VAL : r.busy > 0 ? t / (1 - std::min(r.busy, 0.95F)) : t * t / s;
        row.eta = s / (2 * t * t * t);
    }

    void take_step() {
        update_estimates();
        // The floor grows with the fleet: one task in several periods per runner is too little to go by.
        const double x = std::max({job_rate_, kMinRate, runners_.ready_count / 4.0}) * job_seconds_;
        if (!step_toward_min_marginal(runners_.split, x, [this] { return uniform(); })) return;
        runners_.normalize();
    }
};

}  // namespace gannethold::balancer
