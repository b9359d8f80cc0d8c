// Views for operators, and the export and restore of the learned state.
#pragma once

#include "balancer.hpp"
#include "balancer/event_handlers.hpp"

namespace gannethold::balancer {

class StateExport : protected EventHandlers {
  public:
    StateExport(const SettingsMap& settings, std::uint64_t seed) : EventHandlers(settings, seed) {}

    std::vector<RunnerView> runners() const {
        std::vector<RunnerView> all;
        for (std::size_t i = 0; i < runners_.size(); ++i) {
            const Runner& runner = runners_[i];
            all.push_back({runner.entry.runner, runner.is_ready, runner.is_on_trial, runner.is_suspected,
                           runners_.split[i].fraction, slots_of(runner), free_slots(runner, false),
                           slow_start_factor(runner), runner.in_flight, runner.reported_at,
                           runner.ejected_until});
        }
        return all;
    }

    LearnedState learned_state(std::size_t offset, std::size_t limit) const {
        LearnedState learned;
        learned.table_size = runners_.size();
        for (std::size_t i = offset; i < runners_.size() && i - offset < limit; ++i)
            if (const Runner& runner = runners_[i]; runner.is_ready)
                learned.runners.push_back({runner.entry.runner, runner.latency, runner.min_latency,
                                           runner.slots, runners_.split[i].fraction,
                                           std::max<Micros>(0, runner.ejected_until - now_),
                                           slow_start_factor(runner) < 1 ? now_ - runner.warmup_from : -1});
        for (std::size_t i = 0; i < types_.size(); ++i)
            learned.instance_types.push_back(
                {InstanceTypeId(static_cast<std::uint32_t>(i)), types_[i].latency, types_[i].weight});
        for (const Workload& w : workloads_) learned.workloads.push_back(w.latency);
        learned.typical_cost = typical_cost_;
        return learned;
    }

    void restore(const LearnedState& learned) {
        for (const InstanceTypeEstimates& estimates : learned.instance_types) {
            const auto index = static_cast<std::size_t>(estimates.instance_type);
            if (index >= types_.size()) continue;
            InstanceType& type = types_[index];
            type.latency = estimates.latency, type.weight = estimates.weight, type.has_new_samples = true;
        }
        for (std::size_t i = 0; i < workloads_.size() && i < learned.workloads.size(); ++i)
            workloads_[i].latency = learned.workloads[i];
        typical_cost_ = std::max(typical_cost_, learned.typical_cost);
        for (const RunnerEstimates& estimates : learned.runners) {
            Runner* const runner = runners_.find(estimates.runner);
            if (!runner || !runner->is_ready) continue;
            runner->is_restored = true;
            runner->ejected_until = std::max(runner->ejected_until, now_ + estimates.ejected_for);
            if (estimates.warming_for >= 0)
                runner->warmup_from = std::max(runner->warmup_from, now_ - estimates.warming_for);
            // The budget of a slow start grows with the slots, so these have to be measured again first.
            if (slow_start_factor(*runner) >= 1) runner->slots = std::max(runner->slots, estimates.slots);
            if (estimates.fraction > 0) runners_.row(*runner).fraction = estimates.fraction;
            if (estimates.latency.weight() <= 0) continue;
            runner->latency = estimates.latency, runner->min_latency = estimates.min_latency;
            runner->has_samples = runner->has_new_samples = true;
            runners_.with_samples.push_back(runners_.index_of(*runner));
        }
        runners_.normalize();
        update_estimates();
    }
};

}  // namespace gannethold::balancer
