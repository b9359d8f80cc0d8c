// Lines of a scenario that check how a text is read.
#pragma once

#include "scenario_line.hpp"

namespace gannethold::cluster::simulation {

/// `configuration KIND JSON`: reads the configuration. KIND is `ok` or the error's name, and after a colon
/// what must stand in the error's detail.
void check_configuration(const ScenarioLine& line);

/// `settings KIND a=b;c=d`: likewise for a settings file, whose lines end with a semicolon here.
void check_settings(const ScenarioLine& line);

}  // namespace gannethold::cluster::simulation
