#include "dispatcher/outcomes.hpp"

namespace gannethold::dispatcher {

// In doubt a task may have run. Only an ending that shows that no runner can have received the complete
// request proves the contrary.
Outcome outcome_of(net::CloseReason ending) {
    using net::CloseReason;
    switch (ending) {
        case CloseReason::done:
            return Outcome::finished;
        case CloseReason::failed:
        case CloseReason::malformed:
            return Outcome::error;
        case CloseReason::returned:
        case CloseReason::drained_unsent:
            return Outcome::full;
        case CloseReason::refused:
        case CloseReason::unreachable:
        case CloseReason::connect_timed_out:
        case CloseReason::broken_unsent:
            return Outcome::connect_failed;
        // Caused by this process, and no evidence about the runner: nothing was sent to it.
        case CloseReason::out_of_sockets:
        case CloseReason::timed_out_unsent:
        case CloseReason::cancelled_unsent:
            return Outcome::not_started;
        case CloseReason::lost:
        case CloseReason::broken:
        case CloseReason::ended_early:
        case CloseReason::stale_connection:
        case CloseReason::closed:
            return Outcome::reset;
        case CloseReason::timed_out:
            return Outcome::timed_out;
        case CloseReason::cancelled:
            return Outcome::withdrawn;
    }
    return Outcome::reset;
}

}  // namespace gannethold::dispatcher
