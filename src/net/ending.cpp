#include "net/ending.hpp"

namespace gannethold::net {

const char* name_of(Ending ending) {
    switch (ending) {
        case Ending::done:
            return "done";
        case Ending::failed:
            return "failed";
        case Ending::handed_back:
            return "handed back";
        case Ending::lost:
            return "lost";
        case Ending::refused:
            return "refused";
        case Ending::unreachable:
            return "unreachable";
        case Ending::connect_timed_out:
            return "connect timed out";
        case Ending::out_of_sockets:
            return "out of sockets";
        case Ending::broken_unsent:
            return "broken before the last byte was written";
        case Ending::broken:
            return "broken";
        case Ending::ended_early:
            return "ended before the last line";
        case Ending::crossed:
            return "closed as the request came";
        case Ending::malformed:
            return "malformed answer";
        case Ending::stopped:
            return "out of time";
        case Ending::stopped_unsent:
            return "out of time before the last byte was written";
        case Ending::withdrawn:
            return "withdrawn";
        case Ending::withdrawn_unsent:
            return "withdrawn before the last byte was written";
        case Ending::drained_unsent:
            return "runner drains, nothing written";
        case Ending::closed:
            return "closed";
    }
    return "unknown";
}

bool written_whole(Ending ending) {
    switch (ending) {
        case Ending::done:
        case Ending::failed:
        case Ending::handed_back:
        case Ending::lost:
        case Ending::broken:
        case Ending::ended_early:
        case Ending::crossed:
        case Ending::malformed:
        case Ending::stopped:
        case Ending::withdrawn:
            return true;
        case Ending::refused:
        case Ending::unreachable:
        case Ending::connect_timed_out:
        case Ending::out_of_sockets:
        case Ending::broken_unsent:
        case Ending::stopped_unsent:
        case Ending::withdrawn_unsent:
        case Ending::drained_unsent:
        case Ending::closed:
            return false;
    }
    return false;
}

}  // namespace gannethold::net
