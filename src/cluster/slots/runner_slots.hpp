#pragma once

#include <algorithm>
#include <cstdint>
#include <set>
#include <vector>

#include "cluster/base/mechanisms.hpp"
#include "cluster/slots/session.hpp"
#include "cluster/wire/messages.hpp"
#include "types.hpp"

namespace gannethold::cluster {

struct Function;

// One runner and its granted slots.
struct RunnerSlots {
    struct Grant {
        Session session = 0;
        // 0: the slot was not granted by this coordinator; a proxy reported it as in use.
        std::uint32_t request_id = 0;
        std::uint16_t request_class = 0;
        Micros since = 0;
    };

    std::uint32_t outstanding() const { return static_cast<std::uint32_t>(grants.size()); }
    // Whether a request may be sent to the runner now.
    bool is_available(Micros now) const {
        return state == RunnerState::ready && !draining &&
               (now >= ejected_until || is_off(Mechanism::ejection)) && outstanding() < info.slots;
    }
    void eject_until(Micros until) { ejected_until = std::max(ejected_until, until); }

    std::uint32_t number = 0;      // identifies the runner in messages to proxies, in this term
    RunnerInfo info;               // info.outstanding is not used here
    Function* function = nullptr;  // never null; the function outlives the runner
    RunnerState state = RunnerState::starting;
    bool draining = false;  // accepts no more requests; never reset
    Micros draining_since = 0;
    std::vector<Grant> grants;
    // Not started by this coordinator, and no grant on it has ended yet.
    bool adopted = true;
    Micros started_at = 0;
    Micros idle_since = 0;
    Micros ejected_until = 0;    // outlier ejection: not available before
    std::set<Session> notified;  // proxies that have received the runner's number
    Session prober = 0;          // the proxy that reports when the runner accepts connections; 0: none
};

}  // namespace gannethold::cluster
