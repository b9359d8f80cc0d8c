// What one decision costs: the module's own CPU time for a task, by the size of the fleet and of what waits.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace gannethold::rehearsal {

struct DecisionCost {
    std::size_t runners = 0, held = 0;
    double arrival_us = 0;  // a task comes: noted, settled, sent or held
    double end_us = 0;      // an assignment ends and, if any waits, another goes out
    double period_us = 0;   // the periodic step
};

// With `held` tasks waiting that find no room. Real CPU time, so it differs from run to run.
DecisionCost measure_decision(std::size_t runners, std::size_t held, std::uint64_t seed);

}  // namespace gannethold::rehearsal
