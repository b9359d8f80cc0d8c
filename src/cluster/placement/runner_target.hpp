#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "cluster/placement/exchange_rates.hpp"
#include "cluster/placement/worker_table.hpp"
#include "cluster/slots/slot_table.hpp"
#include "types.hpp"

namespace gannethold::cluster {

// How many runners a function should have.
struct RunnerTarget {
    std::size_t count = 0;
    const char* reason = "";
    std::string zone;  // where one more is best; empty: wherever there is room
};

// A function's runners, and the starts that are pending, without those that drain.
struct RunnerCounts {
    std::size_t total = 0;
    std::size_t starting = 0;
    std::map<std::string, double> by_zone;
};

// What a target is worked out from, beside the function.
struct PlanningView {
    const SlotTable& slot_table;
    const WorkerTable& workers;
    const ExchangeRates& rates;
};

// REQUIRES: the function is configured.
RunnerTarget runner_target(Micros now, const Function& function, const RunnerCounts& runners,
                           const PlanningView& view);

}  // namespace gannethold::cluster
