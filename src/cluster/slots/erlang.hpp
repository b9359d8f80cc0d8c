// Erlang's formulas for queues with random arrivals.
#pragma once

#include <cstdint>

namespace gannethold::cluster {

// The fraction of randomly arriving requests that find all slots of a runner in use (Erlang's B formula).
// load: the mean number of slots that the requests would occupy.
double erlang_b(double load, std::uint32_t slots);

// The probability that a request waits for a slot longer than `durations` mean durations of work, if all
// requests that find no free slot wait in one queue (Erlang's C formula, which assumes exponential
// durations). Returns 1 if load >= slots, where the queue grows without bound.
double probability_wait_exceeds(double load, std::uint32_t slots, double durations);

}  // namespace gannethold::cluster
