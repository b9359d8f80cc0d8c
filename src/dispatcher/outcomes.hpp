// The one place where the end of an assignment becomes an outcome for the module.
#pragma once

#include "net/close_reason.hpp"
#include "types.hpp"

namespace gannethold::dispatcher {

Outcome outcome_of(net::CloseReason ending);

}  // namespace gannethold::dispatcher
