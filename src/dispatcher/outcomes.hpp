// Maps the way in which an assignment ended to the outcome that the Balancer works with.
#pragma once

#include "net/close_reason.hpp"
#include "types.hpp"

namespace gannethold::dispatcher {

Outcome outcome_of(net::CloseReason ending);

}  // namespace gannethold::dispatcher
