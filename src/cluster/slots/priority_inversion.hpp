#pragma once

#include <cstdint>
#include <string>

#include "cluster/slots/session.hpp"
#include "types.hpp"

namespace gannethold::cluster {

// Records that a waiting request was served before one that had arrived earlier ("passed"), with the reason
// and the state of both.
struct PriorityInversion {
    // Reasons as logged and shown to operators (docs/operators-system.md).
    static constexpr const char* kLessTimeLeft = "less_time_left";
    static constexpr const char* kPassedIsLate = "passed_is_late";
    static constexpr const char* kLateTurn = "late_turn";

    Micros at = 0;
    std::string service;
    Session session = 0;
    Session passed_session = 0;
    std::uint32_t request_id = 0;
    std::uint32_t passed_request_id = 0;
    int priority = 0;
    int passed_priority = 0;
    Micros time_left = 0;  // until the latency target; negative once the target has passed
    Micros passed_time_left = 0;
    const char* reason = "";
};

}  // namespace gannethold::cluster
