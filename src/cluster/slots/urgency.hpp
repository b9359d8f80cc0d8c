// Which of the requests that wait for slots of a function goes first (docs/urgency.md); one rule for the
// coordinator, who orders those of all fronts, and for a front that serves its own while no coordinator
// answers.
#pragma once

#include <tuple>

#include "types.hpp"

namespace gannethold::cluster {

constexpr Micros kRank = 100'000;  // of time left, for each step of priority

struct Urgency {
    Micros since = 0, target_at = 0;  // of one steady clock
    int priority = 0;                 // 0 is the highest
    bool late = false;                // it can not be in aim any more
};

// Smaller goes first. Who can be in aim goes by the time left, a lower rank's counted longer; who can not, by
// who came first. turn: it is the turn of one that is late.
inline std::tuple<bool, Micros, Micros> place_in_line(const Urgency& u, bool turn) {
    return {u.late != turn, u.late ? u.since : u.target_at + u.priority * kRank, u.since};
}

}  // namespace gannethold::cluster
