#include "cluster/placement/runner_target.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <numeric>
#include <vector>

#include "cluster/base/mechanisms.hpp"
#include "cluster/placement/start_cost.hpp"
#include "cluster/slots/erlang.hpp"

namespace gannethold::cluster {
namespace {

// Fraction of the boot duration: if a slot becomes free sooner, no runner is started for a waiting request.
constexpr double kMinWaitPerBoot = 0.8;
// Fraction of the load by which it may grow while another runner starts.
constexpr double kLoadGrowthFraction = 0.2;
// Factor on the square root of the load: random variation, which dominates for a small load.
constexpr double kLoadDeviationFactor = 0.5;
// Expected durations of work that a latency target must cover in addition to the wait for a slot, because
// requests can take longer than expected.
constexpr double kWorkDurationsInTarget = 2;
constexpr double kDefaultWorkSeconds = 0.1;  // for a function without load
constexpr std::size_t kMaxRunners = 10'000;  // per function
constexpr double kInterruptionSeconds = 1;   // approximate time to replace a lost coordinator
constexpr double kSecondsPerHour = 3600;
constexpr double kRequestBytes = 1500;  // including the response

double seconds(Micros span) { return static_cast<double>(span) / 1e6; }

// The zone with the most requests per runner in it; empty if there are no requests.
std::string zone_with_highest_need(const Function& function, const RunnerCounts& runners) {
    constexpr double kRunnerOffset = 0.2;  // keeps the need of a zone without runners finite
    std::string best_zone;
    double max_need = 0;
    for (const auto& [zone, demand] : function.zones.by_zone()) {
        const auto in_zone = runners.by_zone.find(zone);
        const double zone_runners = in_zone == runners.by_zone.end() ? 0 : in_zone->second;
        const double need = demand.requests_per_s / (kRunnerOffset + zone_runners);
        if (need <= max_need) continue;
        max_need = need;
        best_zone = zone;
    }
    return best_zone;
}

// The zone whose proxies have the most waiting requests; empty if no request is waiting.
std::string zone_with_most_waiting(const Function& function, const SlotTable& slot_table) {
    std::map<std::string, int> waiting;
    for (const auto& [ticket, request] : function.waiting.all())
        if (const std::string* const zone = slot_table.proxy_zone(request.session)) ++waiting[*zone];
    std::string busiest_zone;
    int max_count = 0;
    for (const auto& [zone, count] : waiting) {
        if (count <= max_count) continue;
        max_count = count;
        busiest_zone = zone;
    }
    return busiest_zone;
}

// The number of runners that are placed near clients: one in the region with the most requests, and one more
// for each other region, and for each further zone in a region with a runner, whose traffic to another region
// or zone would cost more than a runner.
std::size_t count_near_clients(const Function& function, const WorkerTable& workers,
                               const ExchangeRates& rates, double runner_second) {
    std::map<std::string, std::vector<double>> rates_by_region;  // request rates of the zones of each region
    for (const auto& [zone, demand] : function.zones.by_zone())
        rates_by_region[workers.region_of(zone)].push_back(demand.requests_per_s);
    const auto total = [](const std::vector<double>& zones) {
        return std::accumulate(zones.begin(), zones.end(), 0.0);
    };
    const auto main_region = std::max_element(
        rates_by_region.begin(), rates_by_region.end(),
        [&](const auto& left, const auto& right) { return total(left.second) < total(right.second); });
    const double per_gb = kRequestBytes / 1e9;
    std::size_t count = 1;
    for (auto region = rates_by_region.begin(); region != rates_by_region.end(); ++region) {
        std::vector<double>& zones = region->second;
        const bool has_runner =
            region == main_region || total(zones) * per_gb * rates.region_gb > runner_second;
        if (!has_runner) continue;
        count += region != main_region;
        std::sort(zones.begin(), zones.end(), std::greater<>());
        for (std::size_t zone = 1; zone < zones.size(); ++zone)
            count += zones[zone] * per_gb * rates.zone_gb > runner_second;
    }
    return count;
}

// The load of a function and the time that its requests may wait for a slot.
struct OfferedLoad {
    double requests_per_s = 0;
    double load = 0;        // in slots
    double work_s = 0;      // of one request
    double max_wait_s = 0;  // a request that waits longer is late
};

// expected: the expected requests per second; the smoothed rate is initially too low.
OfferedLoad offered_load(const Function& function, double expected) {
    OfferedLoad demand;
    demand.requests_per_s = std::max(function.zones.requests_per_s(), expected);
    const double peak = function.load.peak();
    demand.load = peak + std::max(kLoadGrowthFraction * peak, kLoadDeviationFactor * std::sqrt(peak));
    const double load = function.load.slow();
    demand.work_s = kDefaultWorkSeconds;
    if (load > 0 && demand.requests_per_s > 0) demand.work_s = std::max(1e-3, load / demand.requests_per_s);
    const double target_s = seconds(function.service->min_latency_target);
    demand.max_wait_s = std::max(0.0, target_s - kWorkDurationsInTarget * demand.work_s);
    return demand;
}

// The time after an interruption during which requests are late, until the accumulated requests have been
// served. REQUIRES: slots > demand.load.
double late_seconds_after_interruption(const OfferedLoad& demand, double slots) {
    const double peak_wait_s = kInterruptionSeconds * demand.load / slots;
    if (peak_wait_s <= demand.max_wait_s) return 0;
    const double backlog_seconds = kInterruptionSeconds * demand.load / (slots - demand.load);
    return backlog_seconds * (1 - demand.max_wait_s / peak_wait_s);
}

// The mean number of requests per second that are late because they wait for a slot.
double late_per_s(const OfferedLoad& demand, double slots, double interruptions_per_s) {
    const double at_random = is_off(Mechanism::late_by_chance)
                                 ? 0
                                 : probability_wait_exceeds(demand.load, static_cast<std::uint32_t>(slots),
                                                            demand.max_wait_s / demand.work_s);
    if (slots <= demand.load) return demand.requests_per_s;
    const double interrupted =
        is_off(Mechanism::room_for_interruptions)
            ? 0
            : std::min(1.0, interruptions_per_s * late_seconds_after_interruption(demand, slots));
    return demand.requests_per_s * std::min(1.0, at_random + interrupted);
}

// The smallest number of runners at which one more runner would cost more than the late requests that it
// would prevent.
std::size_t count_by_load(const Function& function, double expected, const ExchangeRates& rates,
                          double runner_second) {
    const OfferedLoad demand = offered_load(function, expected);
    if (demand.load <= 0 || demand.requests_per_s <= 0) return 1;
    const double per_runner = function.service->max_concurrency;
    const auto late = [&](std::size_t runners) {
        return late_per_s(demand, static_cast<double>(runners) * per_runner,
                          rates.expected_interruptions_per_h / kSecondsPerHour);
    };
    auto runners = static_cast<std::size_t>(std::max(1.0, std::ceil(demand.load / per_runner)));
    while (runners < kMaxRunners && rates.late_request * (late(runners) - late(runners + 1)) > runner_second)
        ++runners;
    return runners;
}

// Whether to start a runner for waiting requests: it would be ready before a slot becomes free, and with the
// runners that exist or are starting the newest request would miss its latency target.
bool needs_start_for_waiting(Micros now, const Function& function, const RunnerCounts& runners,
                             const SlotTable& slot_table) {
    const Service& service = *function.service;
    if (is_off(Mechanism::starts_for_waiting) && runners.total > 0) return false;
    const double wait_us = slot_table.expected_wait_us(now, function);
    if (runners.starting * service.max_concurrency >= function.waiting.size() ||
        wait_us <= kMinWaitPerBoot * static_cast<double>(service.boot_duration))
        return false;
    const WaitQueue::Waiting& newest = *function.waiting.newest();
    const double done_at = static_cast<double>(now) + wait_us + static_cast<double>(newest.work);
    return runners.total == 0 || done_at > static_cast<double>(newest.target_at);
}

}  // namespace

RunnerTarget runner_target(Micros now, const Function& function, const RunnerCounts& runners,
                           const PlanningInputs& inputs) {
    RunnerTarget target;
    target.reason = "idle";
    target.zone = zone_with_highest_need(function, runners);
    const StartCost cost(inputs.rates, inputs.slot_table.boot_times(), *function.service);
    const double expected = inputs.slot_table.expected_rate(
        now, function,
        inputs.rates.expected_requests_per_s * static_cast<double>(inputs.slot_table.proxy_count()));
    const bool is_worthwhile =
        runners.total > 0 ? cost.is_cheaper_to_keep(expected) && !is_off(Mechanism::keep_by_rate)
                          : cost.is_cheaper_to_start_ahead(expected) && !is_off(Mechanism::start_ahead);
    if (is_worthwhile) {
        target.count = count_by_load(function, expected, inputs.rates, cost.runner_second());
        target.reason = target.count > 1 ? "load" : runners.total > 0 ? "kept" : "warm";
        const std::size_t near =
            count_near_clients(function, inputs.workers, inputs.rates, cost.runner_second());
        if (near > target.count && !is_off(Mechanism::near_runners)) {
            target.count = near;
            target.reason = "near";
        }
    }
    if (function.waiting.empty()) return target;
    if (std::string zone = zone_with_most_waiting(function, inputs.slot_table); !zone.empty())
        target.zone = zone;
    if (runners.total + 1 > target.count &&
        needs_start_for_waiting(now, function, runners, inputs.slot_table)) {
        target.count = runners.total + 1;
        target.reason = "waiting";
    }
    return target;
}

}  // namespace gannethold::cluster
