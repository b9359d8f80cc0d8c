// The terms of the workloads over changes of the orders in service. No I/O and no clock: times are passed in.
//
// A task keeps the terms under which it was taken. So a workload whose terms change gets another place in the
// decision module, and the old place goes on for what is open there; it is used again once nothing is, and
// some time has passed.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

#include "types.hpp"

namespace gannethold::orders {

class Terms {
  public:
    static constexpr std::size_t kMost = 256;  // places, open ones and those at rest
    // What is under way between a request's head and its task is no task yet, so a place rests for so long at
    // least.
    static constexpr Micros kRest = 10'000'000;

    // configured: how many workloads, from the first on, the configuration names; those behind it belong to
    // other fronts and stay as they are.
    Terms(const StatedOrders& stated, std::size_t configured);

    // What the module goes by: every place that is open or at rest with its terms.
    const StatedOrders& stated() const { return stated_; }
    // The places of the configuration's workloads in its order; what they are called; which are in force.
    const std::vector<WorkloadId>& places() const { return places_; }
    const std::string& name_of(WorkloadId place) const;

    struct Change {
        std::vector<std::string> added, dropped, changed;  // names
        std::vector<WorkloadId> learn_from;  // for each place, the one whose learning it takes over
    };
    using Open = std::function<bool(WorkloadId)>;
    // All or nothing: throws std::runtime_error, with everything as it was, where no place is left.
    Change restate(Micros now, const StatedOrders& fresh, const Open& open);

  private:
    using Clauses = std::map<std::string, std::string>;  // behind "workloads.N."
    struct Place {
        Clauses clauses;
        bool in_force = false, foreign = false;
        Micros left_at = 0;
    };
    static Clauses clauses_of(const StatedOrders& stated, std::size_t n);
    static StatedOrders spell(const StatedOrders& rest, const std::vector<Place>& places);

    std::vector<Place> all_;
    std::vector<WorkloadId> places_;
    StatedOrders stated_;
};

}  // namespace gannethold::orders
