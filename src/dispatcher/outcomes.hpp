// The one place where the end of an assignment becomes an outcome for the module.
#pragma once

#include "net/ending.hpp"
#include "types.hpp"

namespace gannethold::dispatcher {

Outcome outcome_of(net::Ending ending);

}  // namespace gannethold::dispatcher
