// The lane on sockets: real dispatchers as processes of their own, and everybody else played on loopback by
// this process.
#pragma once

#include <functional>
#include <string>

#include "results/tally.hpp"

namespace gannethold::rehearsal {

struct Premises {
    std::string program;                   // the dispatcher's
    std::string folder;                    // for configurations and logs; made if it is not there
    std::function<bool(Micros now)> stop;  // looked at now and then: true ends the day there
};

// Throws std::runtime_error with one clear line where the day cannot be played at all: no part of the
// loopback range free, too few descriptors, a dispatcher that does not come up. No process is left behind.
Result play_on_sockets(const Day& day, std::uint64_t seed, const Premises& premises);

// A day with nobody calling: one dispatcher on that address before the day's fleet, until stop says so.
void hold_open(const Day& day, const std::string& listen, const Premises& premises);

}  // namespace gannethold::rehearsal
