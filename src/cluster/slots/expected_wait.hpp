#pragma once

#include "cluster/slots/function.hpp"
#include "cluster/slots/work_durations.hpp"
#include "types.hpp"

namespace gannethold::cluster {

// In how many microseconds a slot of the function is likely to come free for the last one that waits, or for
// one more if nobody waits; 0 if a slot is free, very large if there is no runner.
double expected_wait(Micros now, const Function& function, const WorkDurations& durations);

}  // namespace gannethold::cluster
