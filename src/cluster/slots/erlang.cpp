#include "cluster/slots/erlang.hpp"

#include <algorithm>
#include <cmath>

namespace gannethold::cluster {

double erlang_b(double load, std::uint32_t slots) {
    double blocked = 1;
    for (std::uint32_t slot = 1; slot <= slots; ++slot) blocked = load * blocked / (slot + load * blocked);
    return blocked;
}

double probability_wait_exceeds(double load, std::uint32_t slots, double durations) {
    if (load <= 0) return 0;
    if (load >= slots) return 1;
    const double blocked = erlang_b(load, slots);
    const double waits = slots * blocked / (slots - load * (1 - blocked));
    return waits * std::exp(-(slots - load) * std::max(0.0, durations));
}

}  // namespace gannethold::cluster
