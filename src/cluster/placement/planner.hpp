// How many runners each function has, and on which worker each is started. One planner acts at a time: the
// leader of the core, under its term as the fence. It reads the slot table and says what to start and stop;
// no I/O and no clock.
#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cluster/slots/slot_table.hpp"

namespace gannethold::cluster {

struct Worker {
    std::string name, zone;
    std::int64_t memory_mb = 0, free_mb = 0;
    bool ready = true;
};

struct StartRunner {
    std::string service, worker, nonce;
    const char* why = "";
};
struct StopRunner {
    std::string runner;
    const char* why = "";
};

struct PlatformRequests {
    std::vector<StartRunner> starts;
    std::vector<StopRunner> stops;
};

enum class StartResult { started, no_capacity, rejected, busy, timed_out };

class Planner {
  public:
    struct Options {
        std::string nonce_prefix;  // unique to this coordinator's term and life
        double requests_per_s = 1;
        Micros takeover_delay =
            1'500'000;  // after coming into coordinator, before what is not listed is started anew
        std::map<std::string, std::string> region_of;  // by zone
    };
    Planner(Options options, Micros now) : options_(std::move(options)), since_(now), tokens_at_(now) {}

    void update_workers(Micros now, std::vector<Worker> all);
    // Call after workers(): ends the starts on workers that drain or stand there no more.
    void cancel_lost_starts(Micros now, SlotTable& slot_table, ProxyOutbox& mail) const;
    void on_list_complete(Micros now) { listed_ = now; }
    bool committed(Micros now) const {
        return listed_ > 0 && !workers_.empty() && now >= since_ + options_.takeover_delay;
    }
    std::string zone_of(const std::string& worker) const {
        const auto at = workers_.find(worker);
        return at == workers_.end() ? std::string() : at->second.zone;
    }
    // For one function, where one more has come to wait.
    void plan_for_waiting(Micros now, SlotTable& slot_table, Function& f, ProxyOutbox& mail);
    void plan(Micros now, SlotTable& slot_table, Function& f, ProxyOutbox& mail);
    // For all that are active; then what is due is said. Call each SlotTable::kSampleInterval.
    void plan_all(Micros now, SlotTable& slot_table, ProxyOutbox& mail);
    void take_due_requests(Micros now, PlatformRequests& orders);
    void on_start_result(Micros now, const std::string& nonce, StartResult answer);
    void on_stop_result(const std::string& runner, bool done);

  private:
    struct Pending {
        StartRunner begin;
        std::int64_t memory = 0;
        Micros next = 0;  // when it is said (again)
        bool out = false;
        int times = 0;
    };
    struct Leaving {
        std::uint32_t number = 0;
        Micros next = 0;
        bool out = false;
    };
    struct Wish {
        std::size_t count = 0;
        const char* why = "";
        std::string zone;  // where one more is best; empty: wherever there is room
    };
    Wish wish(Micros now, const SlotTable& slot_table, const Function& f, std::size_t have,
              std::size_t starting) const;
    const Worker* place(Micros now, const Function& f, const std::string& zone) const;
    std::string region(const std::string& zone) const;
    bool spend(Micros now);

    Options options_;
    Micros since_, listed_ = 0, tokens_at_;
    double tokens_ = 0;
    std::map<std::string, Worker> workers_;
    std::map<std::string, std::int64_t>
        used_;  // by worker, of runners that the slot table knows; counted anew each plan_all
    std::map<std::string, Micros> full_until_;
    std::map<std::string, Pending> starts_;                                // by nonce
    std::unordered_map<std::string, std::vector<std::string>> starts_of_;  // nonces, by function
    std::map<std::string, Leaving> leaving_;                               // by runner
    std::unordered_map<std::string, Micros> surplus_since_;
    std::uint64_t count_ = 0;
};

}  // namespace gannethold::cluster
