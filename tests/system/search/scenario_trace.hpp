// What a play of the search did and found.
#pragma once

#include <cstdint>
#include <sstream>
#include <string>
#include <vector>

#include "simulation/simulated_cluster.hpp"

namespace gannethold::cluster::simulation {

struct PlayResult {
    std::vector<std::string> violations;
    std::string trace;
    std::uint64_t digest = 0;  // of all outputs, if it was recorded
};

std::string seconds_text(Micros span);

/// The lines of a scenario that repeats the play, as far as the scenario player has words for it.
class ScenarioTrace {
  public:
    /// The cluster must outlive this object; its time of now counts as the start.
    explicit ScenarioTrace(const SimulatedCluster& cluster) : cluster_(cluster), start_(cluster.now()) {}

    /// A line without a time.
    void add_header(const std::string& line) { text_ << line << "\n"; }
    /// An action of now.
    void add(const std::string& action);
    std::string text() const { return text_.str(); }

  private:
    const SimulatedCluster& cluster_;
    Micros start_;
    std::ostringstream text_;
};

}  // namespace gannethold::cluster::simulation
