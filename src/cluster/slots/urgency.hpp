// The order in which requests that wait for slots of a function are served (docs/urgency.md). The coordinator
// applies it to the requests of all proxies, and a proxy to its own requests while no coordinator answers.
#pragma once

#include "types.hpp"

namespace gannethold::cluster {

// Each step of priority is equivalent to this much more time until the latency target.
constexpr Micros kPriorityStep = 100'000;

// The properties of a request that determine its place in the order.
struct Urgency {
    Micros since = 0;      // time of arrival
    Micros target_at = 0;  // end of the latency target, on the same steady clock
    int priority = 0;      // 0 is the highest
    bool late = false;     // the request can no longer meet its latency target
};

// The request with the smaller key is served first.
struct UrgencyKey {
    bool other_group = false;  // not in the group (on target or late) that is served now
    Micros order = 0;
    Micros since = 0;
    // clang-tidy 14 mistakes the defaulted comparison for a null pointer.
    friend auto operator<=>(const UrgencyKey&,
                            const UrgencyKey&) = default;  // NOLINT(modernize-use-nullptr)
};

// Requests on target are ordered by the time until their latency target, adjusted by priority; late requests
// by arrival. late_turn: whether late requests are served before those on target.
inline UrgencyKey urgency_key(const Urgency& urgency, bool late_turn) {
    const Micros order = urgency.late ? urgency.since : urgency.target_at + urgency.priority * kPriorityStep;
    return {urgency.late != late_turn, order, urgency.since};
}

}  // namespace gannethold::cluster
