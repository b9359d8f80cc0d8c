// What a scenario that is played has so far.
#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "simulation/simulated_cluster.hpp"

namespace gannethold::cluster::simulation {

struct ScenarioState {
    std::unique_ptr<SimulatedCluster> cluster;  // once there was a line `cores`
    Micros start = 0;
    std::size_t last_core = 0;  // that was named or added

    /// The core that a word names: a number, `leader`, `follower` (the first that runs and doesn't lead) or
    /// `last`. Fails the test if there is none.
    std::size_t core(const std::string& word);
};

}  // namespace gannethold::cluster::simulation
