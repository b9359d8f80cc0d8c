// Which of a route's services takes a request.
#pragma once

#include <string>

#include "cluster/configuration/configuration.hpp"

namespace gannethold::cluster {

/// Draws a service of the route by the weights. draw: uniform in [0, 1).
const std::string& choose_service(const Route& route, double draw);

}  // namespace gannethold::cluster
