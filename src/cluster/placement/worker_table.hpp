#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "types.hpp"

namespace gannethold::cluster {

struct Worker {
    std::string name;
    std::string zone;
    std::int64_t memory_mb = 0;
    std::int64_t free_mb = 0;
    bool ready = true;  // false: it drains
};

// The workers that the platform lists, by name, and the memory that runners use there.
class WorkerTable {
  public:
    // What a runner on a worker is chosen by.
    struct Demand {
        std::int64_t memory_mb = 0;
        std::string zone;                                // empty: none is preferred
        std::map<std::string, int> runners;              // of the function, by worker
        std::map<std::string, std::int64_t> pending_mb;  // of starts that are not answered yet, by worker
    };

    explicit WorkerTable(std::map<std::string, std::string> region_of) : region_of_(std::move(region_of)) {}

    void update(std::vector<Worker> workers);
    bool empty() const { return workers_.empty(); }
    bool is_ready(const std::string& name) const;
    // Empty: no such worker is listed.
    std::string zone_of(const std::string& name) const;
    // A zone that is in no region is a region of its own.
    std::string region_of(const std::string& zone) const;

    // Counts anew: of all runners that are known.
    void clear_used() { used_mb_.clear(); }
    void add_used(const std::string& worker, std::int64_t memory_mb) { used_mb_[worker] += memory_mb; }
    // The platform found no room there, whatever the counts say: the worker is passed over until then.
    void set_full(const std::string& worker, Micros until) { full_until_[worker] = until; }

    // In the zone that needs a runner if there is room, then in its region, then anywhere; there on the
    // worker with the fewest runners of the function, so that one crash leaves some; then on the emptiest.
    // nullptr: no worker has room. Valid until the next update().
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
