#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster/configuration/configuration.hpp"
#include "cluster/slots/arrivals.hpp"
#include "cluster/slots/demand.hpp"
#include "cluster/slots/retry_budget.hpp"
#include "cluster/slots/runner_slots.hpp"
#include "cluster/slots/session.hpp"
#include "cluster/slots/sliding_window.hpp"
#include "cluster/slots/wait_queue.hpp"
#include "types.hpp"

namespace gannethold::cluster {

// The coordinator's state for one function.
struct Function {
    // The load that a proxy reported for requests that it sends without a grant.
    struct ProxyLoad {
        double slots = 0;
        double requests_per_s = 0;
        Micros reported_at = 0;
    };

    Function(std::string function_name, const RetryBudget::Options& retry_budget)
        : name(std::move(function_name)), retries(retry_budget) {}

    // Records a request. After a long pause observation of the traffic starts over.
    void on_request(Micros now);
    // Whether the traffic has been observed for long enough, without a long pause, for its load to be known.
    bool is_observed(Micros now) const;
    // Marks the traffic as observed because an earlier coordinator has observed it.
    void assume_observed(Micros now);
    // Whether the function has had no request recently and has no runner, no waiting request and no need of a
    // runner.
    bool is_idle(Micros now) const;

    // Slots of all runners that are not draining; runners that are starting are included.
    double total_slots() const;
    double outstanding() const;
    // What a request that finds no free slot is waiting for.
    WaitReason wait_reason() const;
    // Picks an available runner: the drawn runner if it belongs to this function, otherwise a runner in the
    // zone, otherwise any; within these the runner with the lowest utilization. Returns nullptr if no runner
    // is available.
    RunnerSlots* pick_runner(Micros now, RunnerSlots* drawn, const std::string& zone) const;

    std::string name;
    const Service* service = nullptr;  // nullptr: the function is not in the current configuration
    // Proxies send this function's requests without acquiring a slot (slots/mode_controller.hpp).
    bool unrestricted = false;
    // FunctionMode::has_spare_slots, as last sent to proxies; nullopt: not sent yet.
    std::optional<bool> has_spare_slots;
    Micros coordinated_until = 0;       // earliest time at which it may become unrestricted
    std::vector<RunnerSlots*> runners;  // owned by the runner table; ordered by number
    std::set<Session> subscribers;      // proxies that use the function and are notified of its runners
    WaitQueue waiting;
    std::map<Session, ProxyLoad> proxy_loads;  // while unrestricted
    ZoneDemands zones;
    SlotLoad load;
    ArrivalCount arrivals;
    FunctionGroup* group = nullptr;  // owned by the function registry; nullptr: not configured
    Micros last_used = 0;
    Micros used_since = 0;  // start of the current period of use without a long pause
    RetryBudget retries;
    SlidingWindow rejections{5'000'000};  // rejections by full runners
    int grants_since_late_turn = 0;       // grants to waiting requests
    std::uint64_t inversions = 0;         // requests served before one that had arrived earlier
    bool active = false;                  // sampled and planned for in each interval
    bool needs_runner = false;            // set by the planner: its target is at least one runner
    Micros planned_at = 0;                // set by the planner: when it last planned for waiting requests
    bool no_worker_has_room = false;      // set by the planner: its last start found no worker with room
};

}  // namespace gannethold::cluster
