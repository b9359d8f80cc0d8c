#include "scenario_trace.hpp"

namespace gannethold::cluster::simulation {

std::string seconds_text(Micros span) {
    return std::to_string(static_cast<double>(span) / static_cast<double>(kMicrosPerSecond));
}

void ScenarioTrace::add(const std::string& action) {
    const double at = static_cast<double>(cluster_.now() - start_) / static_cast<double>(kMicrosPerSecond);
    text_ << "at " << at << " " << action << "\n";
}

}  // namespace gannethold::cluster::simulation
