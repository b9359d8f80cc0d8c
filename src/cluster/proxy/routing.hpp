// Selection of the service that serves a request.
#pragma once

#include <string>

#include "cluster/configuration/configuration.hpp"

namespace gannethold::cluster {

/// Selects one of the route's services at random, by weight. draw: uniform in [0, 1).
const std::string& choose_service(const Route& route, double draw);

}  // namespace gannethold::cluster
