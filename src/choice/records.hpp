// What the module knows, and the look-ups in it that every concern uses. Plain records: nothing is decided
// here.
#pragma once

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "fleet.hpp"
#include "uniform_draw.hpp"

namespace gannethold::deciding {

class Records {
  protected:
    Records(const StatedOrders& stated, std::uint64_t seed)
        : orders_(stated), chance_(static_cast<std::uint32_t>(seed ^ seed >> 32)) {
        workloads_ = Workload::restated({}, Stated(stated), orders_.workloads, {});
    }

    StandingOrders orders_;
    std::ranlux24_base chance_;
    std::vector<Workload> workloads_;
    std::map<CustomerId, Customer> customers_;
    Fleet runners_;
    std::map<RunnerId, Micros> drained_;  // where only draining binds, and by which start
    std::vector<Kind> kinds_;
    TaskBook tasks_;
    std::vector<Runner*> open_, able_;  // with room, while the held are placed; for the one drawn now
    std::vector<TaskId> held_, touched_;
    std::vector<RunnerId> to_probe_, to_close_;
    std::set<std::pair<Micros, TaskId>> watch_;  // what has not begun, by when to look again
    Logbook log_;
    Micros now_ = 0, next_period_ = 0, wake_set_ = 0, overload_until_ = 0, next_give_up_ = 0;
    Micros ask_at_ = 0, ask_wait_ = 0;
    bool following_ = false, asking_ = false, looked_ = false;
    int periods_ = 0, arrivals_ = 0, far_out_ = 0;
    double rate_ = 0, usual_cost_ = 0, job_seconds_ = 0.1, usual_latency_ = 1;
    double far_most_ = 8, missing_one_ = 0, missing_more_ = 0;  // far: beyond the own part

    double uniform() { return draw_uniform(chance_); }

    Workload& workload(const Task& task) { return workloads_[static_cast<std::size_t>(task.asked.workload)]; }

    // Of a runner without samples of its own its kind's are the best guess: in a large fleet most have none.
    double latency_of(const Runner& r) const { return r.sampled ? r.smoothed : kinds_[r.kind()].smoothed; }

    double slots_of(const Runner& r) const {
        return std::max(1.0, r.slots > 0 ? r.slots : kinds_[r.kind()].slots);
    }

    // Where nothing but own sendings tells what a runner holds, and most there can be ours.
    bool homes() const { return !orders_.knows_held && orders_.dispatchers > 1; }
};

}  // namespace gannethold::deciding
