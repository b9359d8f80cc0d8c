#include "cluster/placement/planner.hpp"

#include <algorithm>
#include <utility>

namespace gannethold::cluster {
namespace {

// The platform's rate is shared by all that coordinate one after the other.
constexpr double kRateShare = 0.8;
constexpr double kMinBurst = 4;
constexpr double kBurstSeconds = 0.125;

constexpr Micros kStopRetryInterval = 1'000'000;
constexpr Micros kBusyRetryInterval = 100'000;
constexpr Micros kTimeoutRetryInterval = 50'000;
constexpr int kMaxStartAttempts = 4;
constexpr Micros kFullWorkerPause = 1'000'000;

// What one more in a long queue changes is little, and planning for each costs more time than there is.
constexpr std::size_t kShortQueue = 8;
constexpr Micros kLongQueueInterval = 20'000;

constexpr double kMinRequestsPerS = 0.01;  // below, nobody asks
constexpr Micros kSurplusMargin = 500'000;

// How long one runner too many is kept: what starting it again would cost.
Micros surplus_time(const Service& service, std::size_t target) {
    return target == 0 ? service.boot_duration : 2 * service.boot_duration + kSurplusMargin;
}

// Of the runners that may be stopped, one of the zone with most runners for its requests, and of those the
// one that has been idle longest; nullptr: none may be.
const RunnerSlots* choose_surplus(Micros now, const Function& function, Micros min_idle) {
    std::map<std::string, int> by_zone;
    for (const RunnerSlots* const runner : function.runners)
        if (!runner->draining) ++by_zone[runner->info.zone];
    const auto surplus = [&](const RunnerSlots& runner) {
        return by_zone[runner.info.zone] /
               (kMinRequestsPerS + function.zones.requests_per_s(runner.info.zone));
    };
    const RunnerSlots* chosen = nullptr;
    for (const RunnerSlots* const runner : function.runners) {
        if (runner->draining || runner->state != RunnerState::ready) continue;
        // What is outstanding of an unrestricted function is not known here.
        const bool idle = runner->outstanding() == 0 && now >= runner->idle_since + min_idle;
        if (!function.unrestricted && !idle) continue;
        if (!chosen || surplus(*runner) > surplus(*chosen) ||
            (surplus(*runner) == surplus(*chosen) && runner->idle_since < chosen->idle_since))
            chosen = runner;
    }
    return chosen;
}

}  // namespace

Planner::Planner(const Options& options, Micros now)
    : nonce_prefix_(options.nonce_prefix),
      ready_at_(now + options.takeover_delay),
      tokens_(
          {options.requests_per_s, kRateShare, std::max(kMinBurst, options.requests_per_s * kBurstSeconds)},
          now),
      workers_(options.region_of) {}

bool Planner::is_ready(Micros now) const {
    return list_complete_at_ > 0 && !workers_.empty() && now >= ready_at_;
}

void Planner::cancel_lost_starts(Micros now, SlotTable& slot_table, ProxyOutbox& out) const {
    std::vector<std::string> lost;
    for (const auto& [number, runner] : slot_table.runners())
        if (runner.state == RunnerState::starting && !workers_.is_ready(runner.info.worker))
            lost.push_back(runner.info.runner_id);
    for (const std::string& runner : lost) slot_table.on_runner_gone(now, runner, out);
}

// ---- plans ----

void Planner::plan_for_waiting(Micros now, SlotTable& slot_table, Function& function, ProxyOutbox& out) {
    if (function.waiting.size() > kShortQueue && now < function.planned_at + kLongQueueInterval) return;
    function.planned_at = now;
    plan(now, slot_table, function, out);
}

void Planner::plan_all(Micros now, SlotTable& slot_table, ProxyOutbox& out) {
    workers_.clear_used();
    for (const auto& [number, runner] : slot_table.runners())
        if (runner.function->service)
            workers_.add_used(runner.info.worker, runner.function->service->memory_mb);
    const std::vector<Function*> active(slot_table.active().begin(), slot_table.active().end());
    for (Function* const function : active) plan(now, slot_table, *function, out);
    for (auto& [runner, stop] : stops_) {
        if (stop.drained || !slot_table.drain_runner(now, stop.number, out)) continue;
        stop.drained = true;
        stop.next_attempt_at = now;
    }
}

void Planner::plan(Micros now, SlotTable& slot_table, Function& function, ProxyOutbox& out) {
    if (!is_ready(now)) return;
    if (!function.service) {
        for (const RunnerSlots* const runner : function.runners) stop(now, slot_table, *runner, out);
        return;
    }
    const bool unused = function.runners.empty() && function.waiting.empty() &&
                        function.zones.requests_per_s() < kMinRequestsPerS;
    if (unused && !function.service->needs_warm_runner() && starts_.count(function.name) == 0) return;
    const RunnerCounts runners = count_runners(function);
    const RunnerTarget target = runner_target(now, function, runners, slot_table, workers_);
    if (runners.total > target.count && runners.starting == 0) {
        stop_surplus(now, slot_table, function, target.count, out);
        return;
    }
    surplus_since_.erase(function.name);
    if (runners.total < target.count) start_one(now, function, target);
}

RunnerCounts Planner::count_runners(const Function& function) const {
    RunnerCounts counts;
    for (const RunnerSlots* const runner : function.runners) {
        if (runner->draining) continue;
        ++counts.total;
        counts.starting += runner->state == RunnerState::starting;
        counts.by_zone[runner->info.zone] += 1;
    }
    for (const std::string& worker : starts_.workers_of(function.name)) {
        ++counts.total;
        ++counts.starting;
        counts.by_zone[workers_.zone_of(worker)] += 1;
    }
    return counts;
}

void Planner::start_one(Micros now, Function& function, const RunnerTarget& target) {
    WorkerTable::Demand demand;
    demand.memory_mb = function.service->memory_mb;
    demand.zone = target.zone;
    for (const RunnerSlots* const runner : function.runners)
        if (!runner->draining) ++demand.runners[runner->info.worker];
    for (const auto& [nonce, pending] : starts_.all()) {
        demand.pending_mb[pending.start.worker] += pending.memory_mb;
        if (pending.start.service == function.name) ++demand.runners[pending.start.worker];
    }
    const Worker* const worker = workers_.choose(now, std::move(demand));
    function.no_worker_has_room = !worker;
    if (!worker) return;
    PendingStart pending;
    const std::string nonce = nonce_prefix_ + std::to_string(++last_nonce_);
    pending.start = {function.name, worker->name, nonce, target.why};
    pending.memory_mb = function.service->memory_mb;
    pending.next_attempt_at = now;
    starts_.add(std::move(pending));
}

void Planner::stop_surplus(Micros now, SlotTable& slot_table, Function& function, std::size_t target,
                           ProxyOutbox& out) {
    const Micros since = surplus_since_.try_emplace(function.name, now).first->second;
    const Micros keep = surplus_time(*function.service, target);
    if (now < since + keep) return;
    if (const RunnerSlots* const runner = choose_surplus(now, function, keep / 2))
        stop(now, slot_table, *runner, out);
}

void Planner::stop(Micros now, SlotTable& slot_table, const RunnerSlots& runner, ProxyOutbox& out) {
    slot_table.drain_runner(now, runner.number, out);
    stops_.try_emplace(runner.info.runner_id, PendingStop{runner.number, false, 0});
}

// ---- the platform ----

PlatformRequests Planner::take_due_requests(Micros now) {
    PlatformRequests due;
    for (auto& [nonce, pending] : starts_.all()) {
        if (pending.in_flight || now < pending.next_attempt_at) continue;
        if (!tokens_.try_spend(now)) return due;
        pending.in_flight = true;
        ++pending.attempts;
        due.starts.push_back(pending.start);
    }
    for (auto& [runner, stop] : stops_) {
        if (!stop.drained || now < stop.next_attempt_at) continue;
        if (!tokens_.try_spend(now)) return due;
        stop.next_attempt_at = now + kStopRetryInterval;
        due.stops.push_back({runner, "surplus"});
    }
    return due;
}

void Planner::on_start_result(Micros now, const std::string& nonce, StartResult result) {
    PendingStart* const pending = starts_.find(nonce);
    if (!pending) return;
    switch (result) {
        case StartResult::started:
            workers_.add_used(pending->start.worker, pending->memory_mb);
            starts_.remove(nonce);
            break;
        case StartResult::no_capacity:
            workers_.set_full(pending->start.worker, now + kFullWorkerPause);
            starts_.remove(nonce);
            break;
        case StartResult::rejected:
            starts_.remove(nonce);
            break;
        case StartResult::busy:
            pending->in_flight = false;
            pending->next_attempt_at = now + kBusyRetryInterval;
            break;
        case StartResult::timed_out:
            // It may have been done: the same nonce on the same worker finds it again.
            pending->in_flight = false;
            pending->next_attempt_at = now + kTimeoutRetryInterval;
            if (pending->attempts >= kMaxStartAttempts) starts_.remove(nonce);
            break;
    }
}

void Planner::on_stop_result(const std::string& runner, bool stopped) {
    if (stopped) stops_.erase(runner);
}

}  // namespace gannethold::cluster
