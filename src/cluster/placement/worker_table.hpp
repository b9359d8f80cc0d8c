#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "types.hpp"

namespace gannethold::cluster {

// A machine of the platform on which runners are started.
struct Worker {
    std::string name;
    std::string zone;
    std::int64_t memory_mb = 0;
    std::int64_t free_mb = 0;
    bool ready = true;  // false: it is draining
};

// The workers in the platform's list, by name, and the memory that runners use on them.
class WorkerTable {
  public:
    // The requirements of a runner for which a worker is chosen.
    struct Demand {
        std::int64_t memory_mb = 0;
        std::string zone;                                // empty: no preference
        std::map<std::string, int> runners;              // runners of the function, by worker
        std::map<std::string, std::int64_t> pending_mb;  // memory of pending starts, by worker
    };

    explicit WorkerTable(std::map<std::string, std::string> region_of) : region_of_(std::move(region_of)) {}

    void update(std::vector<Worker> workers);
    bool empty() const { return workers_.empty(); }
    bool is_ready(const std::string& name) const;
    // Empty if no such worker is listed.
    std::string zone_of(const std::string& name) const;
    // A zone without a configured region is a region of its own.
    std::string region_of(const std::string& zone) const;

    // Resets the used memory, before add_used() is called for all known runners.
    void clear_used() { used_mb_.clear(); }
    void add_used(const std::string& worker, std::int64_t memory_mb) { used_mb_[worker] += memory_mb; }
    // The platform reported that the worker has no room: choose() skips it until then, whatever its used
    // memory.
    void set_full(const std::string& worker, Micros until) { full_until_[worker] = until; }

    // Chooses a worker with room: in the demand's zone if possible, otherwise in its region, otherwise
    // anywhere; then the one with the fewest runners of the function, so that a crash of one worker does not
    // end all of them; then the one with the largest fraction of free memory. Returns nullptr if no worker
    // has room. The pointer is valid until the next update().
    const Worker* choose(Micros now, Demand demand) const;

  private:
    double rank(const Worker& worker, std::int64_t free_mb, const Demand& demand) const;
    bool is_full(Micros now, const std::string& name) const;

    std::map<std::string, std::string> region_of_;  // by zone
    std::map<std::string, Worker> workers_;
    std::map<std::string, std::int64_t> used_mb_;
    std::map<std::string, Micros> full_until_;
};

}  // namespace gannethold::cluster
