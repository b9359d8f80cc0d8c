#include "cluster/placement/runner_target.hpp"

#include <algorithm>
#include <cmath>

namespace gannethold::cluster {
namespace {

// A runner that is started for each request costs its start each time; one that is kept, its idle time. It is
// kept where more than one request is expected in so many starts' time.
constexpr double kKeepStarts = 2;
constexpr double kMinLoadToKeep = 0.5;    // in slots: it is kept at this load, too
constexpr double kMaxWarmLoad = 0.8;      // of a warm function's slots
constexpr double kStartPays = 0.8;        // of a start's time: a slot that comes free sooner is waited for
constexpr double kNearRequestsPerS = 12;  // of a zone: worth a gigabyte of runner near them
constexpr double kRegionPart = 0.25;      // of that, for a runner in the region
constexpr double kRoundingSlack = 0.3;    // of a runner, that the load may exceed a whole number by

double memory_gb(const Service& service) { return static_cast<double>(service.memory_mb) / 1024; }

// The zone with the most requests for each runner there; empty: nobody asks.
std::string neediest_zone(const Function& function, const RunnerCounts& runners) {
    constexpr double kNoRunner = 0.2;  // counts as so many runners, where there is none
    std::string neediest;
    double max_need = 0;
    for (const auto& [zone, demand] : function.zones.by_zone()) {
        const auto there = runners.by_zone.find(zone);
        const double runners_there = there == runners.by_zone.end() ? 0 : there->second;
        const double need = demand.requests_per_s / (kNoRunner + runners_there);
        if (need <= max_need) continue;
        max_need = need;
        neediest = zone;
    }
    return neediest;
}

// The zone from which most of those that wait came; empty: nobody waits.
std::string zone_of_most_waiting(const Function& function, const SlotTable& slot_table) {
    std::map<std::string, int> waiting;
    for (const auto& [ticket, request] : function.waiting.all())
        if (const std::string* const zone = slot_table.proxy_zone(request.session)) ++waiting[*zone];
    std::string busiest;
    int max_count = 0;
    for (const auto& [zone, count] : waiting) {
        if (count <= max_count) continue;
        max_count = count;
        busiest = zone;
    }
    return busiest;
}

// How many runners stand near those who ask: one for each region, or each zone, where enough comes from it.
std::size_t near_count(const Function& function, const WorkerTable& workers) {
    const double min_rate = kNearRequestsPerS * memory_gb(*function.service);
    const double min_region_rate = kNearRequestsPerS * kRegionPart * memory_gb(*function.service);
    std::map<std::string, double> region_rates;
    std::size_t zones = 0;
    for (const auto& [zone, demand] : function.zones.by_zone()) {
        region_rates[workers.region_of(zone)] += demand.requests_per_s;
        zones += demand.requests_per_s > min_rate;
    }
    std::size_t regions = 0;
    for (const auto& [region, rate] : region_rates) regions += rate > min_region_rate;
    return std::max(zones, regions);
}

// A warm function has a runner before anyone asks, and room for bursts.
void target_warm(const Function& function, const WorkerTable& workers, RunnerTarget& target) {
    const double load = function.load.peak();
    const double slots = load + 2 * std::sqrt(load);
    const double runners = std::ceil(slots / (function.service->max_concurrency * kMaxWarmLoad));
    target.count = std::max<std::size_t>(1, static_cast<std::size_t>(runners));
    target.why = target.count > 1 ? "load" : "warm";
    if (const std::size_t near = near_count(function, workers); near > target.count) {
        target.count = near;
        target.why = "near";
    }
}

void target_by_load(const Function& function, RunnerTarget& target) {
    const double boot = static_cast<double>(function.service->boot_duration);
    const double load = function.load.slow();
    const double requests_in_starts = function.zones.requests_per_s() * kKeepStarts * boot / 1e6;
    if (requests_in_starts <= 1 && load <= kMinLoadToKeep) return;
    const double runners =
        std::ceil((load + std::sqrt(load)) / function.service->max_concurrency - kRoundingSlack);
    target.count = std::max<std::size_t>(1, static_cast<std::size_t>(runners));
    target.why = "load";
}

// One more for those that wait pays where a start is over before a slot comes free, and what is starting
// already would be too late for the latency target.
bool pays_for_waiting(Micros now, const Function& function, const RunnerCounts& runners,
                      const SlotTable& slot_table) {
    const Service& service = *function.service;
    const double wait = slot_table.expected_wait(now, function);
    if (runners.starting * service.max_concurrency >= function.waiting.size() ||
        wait <= kStartPays * static_cast<double>(service.boot_duration))
        return false;
    const WaitQueue::Waiting& newest = *function.waiting.newest();
    const double done_at = static_cast<double>(now) + wait + static_cast<double>(newest.work);
    return runners.total == 0 || done_at > static_cast<double>(newest.target_at);
}

}  // namespace

RunnerTarget runner_target(Micros now, const Function& function, const RunnerCounts& runners,
                           const SlotTable& slot_table, const WorkerTable& workers) {
    RunnerTarget target;
    target.why = "idle";
    target.zone = neediest_zone(function, runners);
    if (function.service->needs_warm_runner())
        target_warm(function, workers, target);
    else
        target_by_load(function, target);
    if (function.waiting.empty()) return target;
    if (std::string zone = zone_of_most_waiting(function, slot_table); !zone.empty()) target.zone = zone;
    if (runners.total + 1 > target.count && pays_for_waiting(now, function, runners, slot_table)) {
        target.count = runners.total + 1;
        target.why = "waiting";
    }
    return target;
}

}  // namespace gannethold::cluster
