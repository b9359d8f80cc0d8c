// The state that a proxy keeps for each function: the split over its runners, its mode and its load.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "cluster/proxy/local_queue_scheduler.hpp"
#include "cluster/split/split.hpp"
#include "cluster/wire/messages.hpp"

namespace gannethold::cluster {

/// Counts the requests of one function that were sent without a slot since the last report to the
/// coordinator.
class LoadCounter {
  public:
    /// Adds a request that occupied a runner for the given time.
    void add(Micros busy) {
        ++requests_;
        busy_ += busy;
    }
    /// Returns the load since the previous call, and resets the counters.
    FunctionLoad take(const std::string& service);
    /// Returns the result of the last take(), for the registration with the next coordinator.
    const FunctionLoad& last() const { return last_; }

  private:
    std::uint32_t requests_ = 0;
    Micros busy_ = 0;
    FunctionLoad last_;
};

/// The state of one function.
struct FunctionState {
    Split split;
    bool unrestricted = false;     ///< requests need no slot, because the runners have ample free capacity
    bool has_spare_slots = false;  ///< FunctionMode::has_spare_slots
    std::uint32_t full_in_outage = 0;  ///< the last outage in which a runner rejected a request; 0: none
    LoadCounter load;
    LocalQueueScheduler queue_scheduler;  ///< used while there is no coordinator

    /// Whether a proxy without a coordinator may use all slots of the function's runners during the outage.
    bool may_use_spare_slots(std::uint32_t outage) const {
        return has_spare_slots && full_in_outage != outage;
    }
};

/// One runner's share of a function's traffic, for operators.
struct RunnerShare {
    std::string service;
    std::string runner;
    double fraction = 0;
    double latency_seconds = 0;
    std::uint32_t in_flight = 0;
    bool unrestricted = false;
};

/// The functions that this proxy has received requests or messages for.
class FunctionTable {
  public:
    /// Creates the state if there is none. The reference stays valid as long as the table exists.
    FunctionState& state_of(const std::string& service) { return functions_[service]; }
    bool is_unrestricted(const std::string& service) const;
    /// Returns the last reported load of each unrestricted function.
    std::vector<FunctionLoad> unrestricted_loads() const;
    /// Returns the loads of the unrestricted functions, once per second. Returns nullopt if no report is due,
    /// or if there is no load to report.
    std::optional<LoadReport> make_load_report(Micros now);
    /// Returns the shares of all functions.
    std::vector<RunnerShare> shares() const;

  private:
    static constexpr Micros kReportInterval = 1'000'000;
    static constexpr Micros kMaxReportedSpan = 10'000'000;

    std::unordered_map<std::string, FunctionState> functions_;
    Micros last_report_at_ = 0;
};

}  // namespace gannethold::cluster
