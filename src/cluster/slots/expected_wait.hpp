#pragma once

#include "cluster/slots/function.hpp"
#include "cluster/slots/work_durations.hpp"
#include "types.hpp"

namespace gannethold::cluster {

// The expected time until the last request in the function's wait queue gets a slot, or a new
// request if the queue is empty: 0 if a slot is free, 1e12 if no runner can take requests.
double expected_wait_us(Micros now, const Function& function, const WorkDurations& durations);

}  // namespace gannethold::cluster
