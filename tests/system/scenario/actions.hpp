// What may happen in a scenario.
#pragma once

#include "scenario_line.hpp"
#include "scenario_state.hpp"

namespace gannethold::cluster::simulation {

/// Carries out an action; the table in actions.cpp has them all. Fails the test for an unknown one.
void carry_out(ScenarioState& state, const ScenarioLine& action);

}  // namespace gannethold::cluster::simulation
