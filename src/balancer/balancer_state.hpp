// The state of the decision module, and the look-ups in it that several concerns share.
#pragma once

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "runner_table.hpp"
#include "uniform_draw.hpp"

namespace gannethold::balancer {

class BalancerState {
  protected:
    BalancerState(const SettingsMap& settings, std::uint64_t seed)
        : settings_(settings), random_(static_cast<std::uint32_t>(seed ^ seed >> 32)) {
        workloads_ = Workload::reload({}, SettingsReader(settings), settings_.workloads, {});
    }

    BalancerSettings settings_;
    std::ranlux24_base random_;
    std::vector<Workload> workloads_;
    std::map<CustomerId, CustomerQuota> quotas_;
    RunnerTable runners_;
    std::map<RunnerId, Micros> drains_;  // drained runners and their start times, where only draining binds
    std::vector<InstanceType> types_;
    TaskTable tasks_;
    // While the queue is dispatched: the runners with capacity, and those of them that fit the current task.
    std::vector<Runner*> open_, candidates_;
    std::vector<TaskId> queue_, changed_;
    std::vector<RunnerId> to_probe_, to_close_;
    std::set<std::pair<Micros, TaskId>> unstarted_;  // sent tasks by the time until which they have to begin
    EjectionLog log_;
    Micros now_ = 0, next_period_ = 0, next_wake_ = 0, overload_until_ = 0, queue_deadline_ = 0;
    Micros fetch_at_ = 0, backoff_ = 0;
    bool is_watching_ = false, is_fetching_ = false, has_scanned_ = false;
    int period_count_ = 0, arrivals_ = 0, far_in_flight_ = 0;  // far: outside the own partition
    double job_rate_ = 0, typical_cost_ = 0, job_seconds_ = 0.1, typical_latency_ = 1;
    double max_far_ = 8;
    double missing_one_ = 0, missing_more_ = 0;  // reports, by what they lack of the own tasks

    double uniform() { return draw_uniform(random_); }

    Workload& workload(const Task& task) {
        return workloads_[static_cast<std::size_t>(task.arrival.workload)];
    }

    // A runner without samples gets the estimate of its instance type: in a large fleet most have none.
    double latency_of(const Runner& runner) const {
        return runner.has_samples ? runner.smoothed : types_[runner.instance_type()].smoothed;
    }

    double slots_of(const Runner& runner) const {
        return std::max(1.0, runner.slots > 0 ? runner.slots : types_[runner.instance_type()].slots);
    }

    // Whether the runners are partitioned among the dispatchers. Without reports of what runners hold each
    // dispatcher knows only its own assignments, so most of a runner's tasks must come from a few of them.
    bool is_partitioned() const { return !settings_.reports_held && settings_.dispatchers > 1; }
};

}  // namespace gannethold::balancer
