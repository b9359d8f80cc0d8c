// Which of the requests that wait for slots of a function is served first (docs/urgency.md). One rule for the
// coordinator, which orders the requests of all proxies, and for a proxy that serves its own while no
// coordinator answers.
#pragma once

#include "types.hpp"

namespace gannethold::cluster {

// Each step of priority counts as this much more time left.
constexpr Micros kPriorityStep = 100'000;

struct Urgency {
    Micros since = 0;      // when the request came
    Micros target_at = 0;  // when its latency target ends, on the same steady clock
    int priority = 0;      // 0 is the highest
    bool late = false;     // it can not meet its latency target any more
};

// Orders requests: the smaller key is served first.
struct UrgencyKey {
    bool other_group = false;  // not of the group, on target or late, that is served now
    Micros order = 0;
    Micros since = 0;
    // clang-tidy 14 takes the defaulted comparison for a null pointer.
    friend auto operator<=>(const UrgencyKey&,
                            const UrgencyKey&) = default;  // NOLINT(modernize-use-nullptr)
};

// Requests on target go by the time left, weighted by priority; late ones in the order of their arrival.
// late_turn: whether a late one is to be served now, before those on target.
inline UrgencyKey urgency_key(const Urgency& urgency, bool late_turn) {
    const Micros order = urgency.late ? urgency.since : urgency.target_at + urgency.priority * kPriorityStep;
    return {urgency.late != late_turn, order, urgency.since};
}

}  // namespace gannethold::cluster
