#include "net/close_reason.hpp"

namespace gannethold::net {

const char* name_of(CloseReason reason) {
    switch (reason) {
        case CloseReason::done:
            return "done";
        case CloseReason::failed:
            return "failed";
        case CloseReason::returned:
            return "handed back";
        case CloseReason::lost:
            return "lost";
        case CloseReason::refused:
            return "refused";
        case CloseReason::unreachable:
            return "unreachable";
        case CloseReason::connect_timed_out:
            return "connect timed out";
        case CloseReason::out_of_sockets:
            return "out of sockets";
        case CloseReason::broken_unsent:
            return "broken before the last byte was written";
        case CloseReason::broken:
            return "broken";
        case CloseReason::ended_early:
            return "ended before the last line";
        case CloseReason::stale_connection:
            return "closed as the request came";
        case CloseReason::malformed:
            return "malformed answer";
        case CloseReason::timed_out:
            return "out of time";
        case CloseReason::timed_out_unsent:
            return "out of time before the last byte was written";
        case CloseReason::cancelled:
            return "withdrawn";
        case CloseReason::cancelled_unsent:
            return "withdrawn before the last byte was written";
        case CloseReason::drained_unsent:
            return "runner drains, nothing written";
        case CloseReason::closed:
            return "closed";
    }
    return "unknown";
}

bool is_request_written(CloseReason reason) {
    switch (reason) {
        case CloseReason::done:
        case CloseReason::failed:
        case CloseReason::returned:
        case CloseReason::lost:
        case CloseReason::broken:
        case CloseReason::ended_early:
        case CloseReason::stale_connection:
        case CloseReason::malformed:
        case CloseReason::timed_out:
        case CloseReason::cancelled:
            return true;
        case CloseReason::refused:
        case CloseReason::unreachable:
        case CloseReason::connect_timed_out:
        case CloseReason::out_of_sockets:
        case CloseReason::broken_unsent:
        case CloseReason::timed_out_unsent:
        case CloseReason::cancelled_unsent:
        case CloseReason::drained_unsent:
        case CloseReason::closed:
            return false;
    }
    return false;
}

}  // namespace gannethold::net
