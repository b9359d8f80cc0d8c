// Decides how many runners each function has and on which worker each is started. Only the coordinator's
// planner acts, with the coordinator's term as fencing token. It reads the slot table and returns the runners
// to start and to stop. Performs no I/O and reads no clock: `now` is a time of a steady clock and never
// decreases. Not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "cluster/placement/exchange_rates.hpp"
#include "cluster/placement/pending_starts.hpp"
#include "cluster/placement/platform_requests.hpp"
#include "cluster/placement/runner_target.hpp"
#include "cluster/placement/token_bucket.hpp"
#include "cluster/placement/worker_table.hpp"
#include "cluster/slots/slot_table.hpp"

namespace gannethold::cluster {

// Plans runners for all functions and tracks the requests to the platform until they are answered.
class Planner {
  public:
    struct Options {
        std::string nonce_prefix;   // unique to this coordinator's term and incarnation
        double requests_per_s = 1;  // the platform's rate limit, for all coordinators together
        // Time after this coordinator has taken over before it plans. Runners that the previous coordinator
        // started appear in the platform's list within this time.
        Micros takeover_delay = 1'500'000;
        std::map<std::string, std::string> region_of;  // by zone
        ExchangeRates rates;
    };
    Planner(const Options& options, Micros now);

    // The complete list of workers has been read.
    void update_workers(std::vector<Worker> workers) { workers_.update(std::move(workers)); }
    // The complete list of runners has been read.
    void on_list_complete(Micros now) { list_complete_at_ = now; }
    // Whether both lists have been read and the takeover delay is over; nothing is planned before.
    bool is_ready(Micros now) const;

    // A runner that is starting on a worker that drains or is down never accepts connections. This removes
    // such runners, so that replacements are planned immediately. To be called after update_workers().
    void cancel_lost_starts(Micros now, SlotTable& slot_table, ProxyOutbox& out) const;
    // Plans for one function; to be called after a request has been added to its wait queue.
    void plan_for_waiting(Micros now, SlotTable& slot_table, Function& function, ProxyOutbox& out);
    // Plans for all active functions and some inactive ones. To be called once per
    // SlotTable::kSampleInterval.
    void plan_all(Micros now, SlotTable& slot_table, ProxyOutbox& out);
    // Returns the requests to send to the platform now, within its rate limit: new ones and retries.
    PlatformRequests take_due_requests(Micros now);

    void on_start_result(Micros now, const std::string& nonce, StartResult result);
    void on_stop_result(const std::string& runner, bool stopped);

    // Empty if no such worker is listed.
    std::string zone_of(const std::string& worker) const { return workers_.zone_of(worker); }

  private:
    struct PendingStop {
        std::uint32_t number = 0;
        bool drained = false;  // no request is outstanding: the runner may be stopped
        Micros next_attempt_at = 0;
    };

    void plan(Micros now, SlotTable& slot_table, Function& function, ProxyOutbox& out);
    // Returns false if no worker has room.
    bool start_one(Micros now, Function& function, const RunnerTarget& target);
    // Stops a runner once the surplus has lasted for the break-even time of a start.
    void stop_surplus(Micros now, SlotTable& slot_table, Function& function, std::size_t target,
                      ProxyOutbox& out);
    void stop(Micros now, SlotTable& slot_table, const RunnerSlots& runner, ProxyOutbox& out);
    RunnerCounts count_runners(const Function& function) const;

    void plan_some_inactive(Micros now, SlotTable& slot_table, ProxyOutbox& out);

    std::string nonce_prefix_;
    ExchangeRates rates_;
    Micros ready_at_;              // end of the takeover delay
    Micros list_complete_at_ = 0;  // 0: the list of runners has not been read completely
    TokenBucket tokens_;
    WorkerTable workers_;
    PendingStarts starts_;
    std::map<std::string, PendingStop> stops_;               // by runner id
    std::unordered_map<std::string, Micros> surplus_since_;  // by function
    std::uint64_t last_nonce_ = 0;
};

}  // namespace gannethold::cluster
