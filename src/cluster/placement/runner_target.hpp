#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "cluster/placement/exchange_rates.hpp"
#include "cluster/placement/worker_table.hpp"
#include "cluster/slots/slot_table.hpp"
#include "types.hpp"

namespace gannethold::cluster {

// The number of runners that a function should have.
struct RunnerTarget {
    std::size_t count = 0;
    const char* reason = "";
    std::string zone;  // preferred zone of the next runner; empty: any zone with room
};

// The runners of a function and its pending starts; runners that drain are not included.
struct RunnerCounts {
    std::size_t total = 0;
    std::size_t starting = 0;
    std::map<std::string, double> by_zone;
};

// The inputs of runner_target() apart from the function.
struct PlanningInputs {
    const SlotTable& slot_table;
    const WorkerTable& workers;
    const ExchangeRates& rates;
};

// REQUIRES: the function is configured.
RunnerTarget runner_target(Micros now, const Function& function, const RunnerCounts& runners,
                           const PlanningInputs& inputs);

}  // namespace gannethold::cluster
