// Policy mechanisms that can be switched off individually, to measure the benefit of each. Only a build with
// GANNETHOLD_MEASURING has the flag --without for that; in other builds all mechanisms are always on and the
// checks compile to nothing.
#pragma once

#include <string>

namespace gannethold::cluster {

// A comment says what the mechanism does; after "off:" it says what happens instead. The flag --without names
// mechanisms by their enumerators.
enum class Mechanism {
    split_step,         // the gradient-projection step for the fractions; off: the fractions stay equal
    near_zone_first,    // runners in the proxy's own zone are drawn first
    unrestricted_mode,  // requests need no slot where there is ample free capacity
    spare_slots,        // without a coordinator any slot may be used where there is some free capacity
    own_share,          // without a coordinator each proxy may use its share of the slots
    silence_detection,  // a coordinator that does not answer is bypassed
    start_ahead,        // a runner is started before the first request
    keep_by_rate,       // idle runners are kept by the expected request rate; off: for their break-even time
    late_by_chance,     // extra runners for waits caused by random arrivals
    room_for_interruptions,  // spare capacity to serve the backlog after an interruption
    near_runners,            // additional runners in other zones and regions, near the requests
    starts_for_waiting,      // an additional runner is started for waiting requests
    early_rejection,         // a request at the end of a long queue is rejected at once
    urgency_order,           // waiting requests are ordered by urgency; off: by arrival
    late_turns,              // every n-th slot goes to a request past its latency target
    ejection,                // a runner that failed is ejected for a short time
    second_attempts,         // a request may be retried at another runner
    configuration_delta,     // configurations are sent as deltas
};

#ifdef GANNETHOLD_MEASURING
bool is_off(Mechanism mechanism);
// Switches off the mechanisms in a comma-separated list of enumerator names. Returns false at the first name
// that is unknown; the mechanisms before it stay switched off.
bool switch_off(const std::string& names);
#else
constexpr bool is_off(Mechanism /*mechanism*/) { return false; }
#endif

}  // namespace gannethold::cluster
