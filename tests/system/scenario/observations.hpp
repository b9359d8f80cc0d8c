// What a scenario may expect.
#pragma once

#include <string>

#include "scenario_line.hpp"
#include "scenario_state.hpp"

namespace gannethold::cluster::simulation {

/// The value of an observation, `NAME` or `NAME:ARGUMENT`; the table in observations.cpp has them all. Fails
/// the test for an unknown one.
double observe(ScenarioState& state, const std::string& what);

/// Checks `expect OBSERVATION = N`, or < or >.
void check_expectation(ScenarioState& state, const ScenarioLine& line);

}  // namespace gannethold::cluster::simulation
