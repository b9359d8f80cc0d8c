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

constexpr double kStartPays = 0.8;  // of a start's time: a slot that comes free sooner is waited for
// Of the load: what may come on top of it while another runner starts.
constexpr double kLoadGrowth = 0.2;
constexpr double kLoadSpread = 0.5;  // of the square root of the load: what chance adds to a small one
// A target leaves room for the wait for a slot beside so many usual durations of work: work takes longer,
// too.
constexpr double kWorkInTarget = 2;
constexpr double kUnknownWork = 0.1;         // seconds; of a function without load
constexpr std::size_t kMaxRunners = 10'000;  // of one function
constexpr double kInterruption = 1;          // seconds; about what the loss of a coordinator takes
constexpr double kSecondsPerHour = 3600;
constexpr double kRequestBytes = 1500;  // with its response

double seconds(Micros span) { return static_cast<double>(span) / 1e6; }

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

// How many runners stand near those who ask: one where most requests come from, and one more for each region,
// and each zone in a region that has one, whose requests would cost more on their way to another than a
// runner.
std::size_t near_count(const Function& function, const WorkerTable& workers, const ExchangeRates& rates,
                       double runner_second) {
    std::map<std::string, std::vector<double>> rates_by_region;  // of its zones
    for (const auto& [zone, demand] : function.zones.by_zone())
        rates_by_region[workers.region_of(zone)].push_back(demand.requests_per_s);
    const auto total = [](const std::vector<double>& zones) {
        return std::accumulate(zones.begin(), zones.end(), 0.0);
    };
    const auto home = std::max_element(
        rates_by_region.begin(), rates_by_region.end(),
        [&](const auto& left, const auto& right) { return total(left.second) < total(right.second); });
    const double per_gb = kRequestBytes / 1e9;
    std::size_t count = 1;
    for (auto region = rates_by_region.begin(); region != rates_by_region.end(); ++region) {
        std::vector<double>& zones = region->second;
        const bool has_runner = region == home || total(zones) * per_gb * rates.region_gb > runner_second;
        if (!has_runner) continue;
        count += region != home;
        std::sort(zones.begin(), zones.end(), std::greater<>());
        for (std::size_t zone = 1; zone < zones.size(); ++zone)
            count += zones[zone] * per_gb * rates.zone_gb > runner_second;
    }
    return count;
}

// A function's load, and how long its requests may wait for a slot.
struct OfferedLoad {
    double requests_per_s = 0;
    double load = 0;      // in slots
    double work = 0;      // seconds, of one request
    double max_wait = 0;  // seconds, beyond which a request is late
};

// expected: its expected requests a second, which the smoothed rate falls short of at first.
OfferedLoad offered_load(const Function& function, double expected) {
    OfferedLoad demand;
    demand.requests_per_s = std::max(function.zones.requests_per_s(), expected);
    const double peak = function.load.peak();
    demand.load = peak + std::max(kLoadGrowth * peak, kLoadSpread * std::sqrt(peak));
    const double load = function.load.slow();
    demand.work = kUnknownWork;
    if (load > 0 && demand.requests_per_s > 0) demand.work = std::max(1e-3, load / demand.requests_per_s);
    const double target = seconds(function.service->min_latency_target);
    demand.max_wait = std::max(0.0, target - kWorkInTarget * demand.work);
    return demand;
}

// For how long requests are late after an interruption, until what has come meanwhile has been served. slots
// is more than the load.
double late_after_interruption(const OfferedLoad& demand, double slots) {
    const double longest_wait = kInterruption * demand.load / slots;
    if (longest_wait <= demand.max_wait) return 0;
    const double backlog_lasts = kInterruption * demand.load / (slots - demand.load);
    return backlog_lasts * (1 - demand.max_wait / longest_wait);
}

// Requests a second that are late for want of a slot, on average.
double late_per_s(const OfferedLoad& demand, double slots, double interruptions_per_s) {
    const double at_random =
        is_off(Mechanism::late_by_chance)
            ? 0
            : waits_longer(demand.load, static_cast<std::uint32_t>(slots), demand.max_wait / demand.work);
    if (slots <= demand.load) return demand.requests_per_s;
    const double interrupted =
        is_off(Mechanism::room_for_interruptions)
            ? 0
            : std::min(1.0, interruptions_per_s * late_after_interruption(demand, slots));
    return demand.requests_per_s * std::min(1.0, at_random + interrupted);
}

// The least number at which one more would cost more than the requests are worth that it would keep from
// being late.
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

// One more for those that wait pays where a start is over before a slot comes free, and what is starting
// already would be too late for the latency target.
bool pays_for_waiting(Micros now, const Function& function, const RunnerCounts& runners,
                      const SlotTable& slot_table) {
    const Service& service = *function.service;
    if (is_off(Mechanism::starts_for_waiting) && runners.total > 0) return false;
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
                           const PlanningView& view) {
    RunnerTarget target;
    target.reason = "idle";
    target.zone = neediest_zone(function, runners);
    const StartCost cost(view.rates, view.slot_table.boot_times(), *function.service);
    const double expected = view.slot_table.expected_rate(
        now, function,
        view.rates.expected_requests_per_s * static_cast<double>(view.slot_table.proxy_count()));
    const bool pays = runners.total > 0
                          ? cost.pays_to_keep(expected) && !is_off(Mechanism::keep_by_rate)
                          : cost.pays_to_start_ahead(expected) && !is_off(Mechanism::start_ahead);
    if (pays) {
        target.count = count_by_load(function, expected, view.rates, cost.runner_second());
        target.reason = target.count > 1 ? "load" : runners.total > 0 ? "kept" : "warm";
        const std::size_t near = near_count(function, view.workers, view.rates, cost.runner_second());
        if (near > target.count && !is_off(Mechanism::near_runners)) {
            target.count = near;
            target.reason = "near";
        }
    }
    if (function.waiting.empty()) return target;
    if (std::string zone = zone_of_most_waiting(function, view.slot_table); !zone.empty()) target.zone = zone;
    if (runners.total + 1 > target.count && pays_for_waiting(now, function, runners, view.slot_table)) {
        target.count = runners.total + 1;
        target.reason = "waiting";
    }
    return target;
}

}  // namespace gannethold::cluster
