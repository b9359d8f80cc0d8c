#include "cluster/placement/planner.hpp"

#include <algorithm>
#include <utility>

#include "cluster/base/mechanisms.hpp"
#include "cluster/placement/start_cost.hpp"

namespace gannethold::cluster {
namespace {

// Fraction of the platform's rate limit that one coordinator uses: the limit also covers the requests of the
// coordinator that it has replaced.
constexpr double kRateShare = 0.8;
constexpr double kMinBurst = 4;
constexpr double kBurstSeconds = 0.125;

constexpr Micros kStopRetryInterval = 1'000'000;
constexpr Micros kBusyRetryInterval = 100'000;
constexpr Micros kTimeoutRetryInterval = 50'000;
constexpr int kMaxStartAttempts = 4;
constexpr Micros kFullWorkerPause = 1'000'000;

// One more request in a longer queue changes the plan little, and planning for each request would take too
// much time; such a queue is planned for once per interval.
constexpr std::size_t kShortQueue = 8;
constexpr Micros kLongQueueInterval = 20'000;

// Requests per second, added to the rate of each zone so that zones without requests can be compared.
constexpr double kRequestRateOffset = 0.01;
// Inactive functions are planned for in round-robin order, this many per sample.
constexpr std::size_t kInactivePerSample = 128;
// Time after the takeover delay until the samples of this coordinator show the load of a function.
constexpr Micros kLoadSettlingTime = 3'000'000;

// Chooses the runner to stop: of those that may be stopped, one in the zone with the most runners relative to
// its requests, and of these the one that has been idle longest; nullptr if no runner may be stopped. An
// adopted runner is kept for break_even, because an earlier coordinator may have had a reason to keep it.
const RunnerSlots* choose_surplus(Micros now, const Function& function, Micros min_idle, Micros break_even) {
    std::map<std::string, int> by_zone;
    for (const RunnerSlots* const runner : function.runners)
        if (!runner->draining) ++by_zone[runner->info.zone];
    const auto surplus = [&](const RunnerSlots& runner) {
        return by_zone[runner.info.zone] /
               (kRequestRateOffset + function.zones.requests_per_s(runner.info.zone));
    };
    const RunnerSlots* chosen = nullptr;
    for (const RunnerSlots* const runner : function.runners) {
        if (runner->draining || runner->state != RunnerState::ready) continue;
        // The outstanding requests of an unrestricted function are not known to the coordinator.
        const Micros min_runner_idle = runner->adopted ? break_even : min_idle;
        const bool is_idle = runner->outstanding() == 0 && now >= runner->idle_since + min_runner_idle;
        if (!function.unrestricted && !is_idle) continue;
        if (!chosen || surplus(*runner) > surplus(*chosen) ||
            (surplus(*runner) == surplus(*chosen) && runner->idle_since < chosen->idle_since))
            chosen = runner;
    }
    return chosen;
}

}  // namespace

Planner::Planner(const Options& options, Micros now)
    : nonce_prefix_(options.nonce_prefix),
      rates_(options.rates),
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
    plan_some_inactive(now, slot_table, out);
    for (auto& [runner, stop] : stops_) {
        if (stop.drained || !slot_table.drain_runner(now, stop.number, out)) continue;
        stop.drained = true;
        stop.next_attempt_at = now;
    }
}

void Planner::plan_some_inactive(Micros now, SlotTable& slot_table, ProxyOutbox& out) {
    for (Function* const function : slot_table.next_round_robin(kInactivePerSample)) {
        if (function->active) continue;
        plan(now, slot_table, *function, out);
        if (function->needs_runner) slot_table.activate(*function);
    }
}

void Planner::plan(Micros now, SlotTable& slot_table, Function& function, ProxyOutbox& out) {
    function.needs_runner = false;
    if (!is_ready(now)) return;
    if (!function.service) {
        for (const RunnerSlots* const runner : function.runners) stop(now, slot_table, *runner, out);
        return;
    }
    const RunnerCounts runners = count_runners(function);
    const RunnerTarget target = runner_target(now, function, runners, {slot_table, workers_, rates_});
    function.needs_runner = target.count > 0;
    if (runners.total > target.count && runners.starting == 0) {
        stop_surplus(now, slot_table, function, target.count, out);
        return;
    }
    surplus_since_.erase(function.name);
    for (std::size_t count = runners.total; count < target.count; ++count)
        if (!start_one(now, function, target)) return;
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

bool Planner::start_one(Micros now, Function& function, const RunnerTarget& target) {
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
    if (!worker) return false;
    PendingStart pending;
    const std::string nonce = nonce_prefix_ + std::to_string(++last_nonce_);
    pending.start = {function.name, worker->name, nonce, target.reason};
    pending.memory_mb = function.service->memory_mb;
    pending.next_attempt_at = now;
    starts_.add(std::move(pending));
    return true;
}

void Planner::stop_surplus(Micros now, SlotTable& slot_table, Function& function, std::size_t target,
                           ProxyOutbox& out) {
    const StartCost cost(rates_, slot_table.boot_times(), *function.service);
    const Micros since = surplus_since_.try_emplace(function.name, now).first->second;
    // A target of 0 already compares the cost of the last runner with the expected requests. If there are
    // several, a surplus runner is kept while the load is not known and for as long as it costs less than
    // another start.
    Micros min_surplus = is_off(Mechanism::keep_by_rate) ? cost.break_even() : 0;
    if (target > 0) {
        if (now < ready_at_ + kLoadSettlingTime) return;
        min_surplus = cost.break_even();
    }
    if (now < since + min_surplus) return;
    if (const RunnerSlots* const runner = choose_surplus(now, function, min_surplus / 2, cost.break_even()))
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
            // The runner may have been started; a retry with the same nonce does not start a second one.
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
