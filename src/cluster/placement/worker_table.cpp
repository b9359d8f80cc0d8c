#include "cluster/placement/worker_table.hpp"

#include <algorithm>

namespace gannethold::cluster {
namespace {

// Nearness takes precedence over the spread over workers, and the spread over free memory.
constexpr double kNearnessWeight = 100;
constexpr double kSpreadWeight = 16;

}  // namespace

void WorkerTable::update(std::vector<Worker> workers) {
    workers_.clear();
    for (Worker& worker : workers) workers_[worker.name] = std::move(worker);
}

bool WorkerTable::is_ready(const std::string& name) const {
    const auto at = workers_.find(name);
    return at != workers_.end() && at->second.ready;
}

std::string WorkerTable::zone_of(const std::string& name) const {
    const auto at = workers_.find(name);
    return at == workers_.end() ? std::string() : at->second.zone;
}

std::string WorkerTable::region_of(const std::string& zone) const {
    const auto at = region_of_.find(zone);
    return at == region_of_.end() ? zone : at->second;
}

bool WorkerTable::is_full(Micros now, const std::string& name) const {
    const auto at = full_until_.find(name);
    return at != full_until_.end() && now < at->second;
}

double WorkerTable::rank(const Worker& worker, std::int64_t free_mb, const Demand& demand) const {
    double nearness = 0;
    if (!demand.zone.empty()) {
        if (worker.zone == demand.zone)
            nearness = 2;
        else if (region_of(worker.zone) == region_of(demand.zone))
            nearness = 1;
    }
    const auto runners = demand.runners.find(worker.name);
    const int worker_runners = runners == demand.runners.end() ? 0 : runners->second;
    return kNearnessWeight * nearness - kSpreadWeight * worker_runners +
           static_cast<double>(free_mb) / static_cast<double>(std::max<std::int64_t>(1, worker.memory_mb));
}

const Worker* WorkerTable::choose(Micros now, Demand demand) const {
    const Worker* best = nullptr;
    double best_rank = 0;
    for (const auto& [name, worker] : workers_) {
        const auto used = used_mb_.find(name);
        const std::int64_t used_mb = used == used_mb_.end() ? 0 : used->second;
        const std::int64_t free_mb = worker.memory_mb - used_mb - demand.pending_mb[name];
        if (!worker.ready || free_mb < demand.memory_mb || is_full(now, name)) continue;
        const double worker_rank = rank(worker, free_mb, demand);
        if (best && worker_rank <= best_rank) continue;
        best = &worker;
        best_rank = worker_rank;
    }
    return best;
}

}  // namespace gannethold::cluster
