// What one seed of the search plays.
#pragma once

#include "scenario_trace.hpp"

namespace gannethold::cluster::simulation {

/// Two of four seeds play single faults, one losses that must be tolerated, one unbounded faults.
PlayResult play_seed(std::uint64_t seed, PlantedFault fault, bool record_digest = false);

}  // namespace gannethold::cluster::simulation
