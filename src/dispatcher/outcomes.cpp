#include "dispatcher/outcomes.hpp"

namespace gannethold::dispatcher {

// In doubt a task may have run: only what shows that no runner can have had the whole request proves
// otherwise.
Outcome outcome_of(net::Ending ending) {
    using net::Ending;
    switch (ending) {
        case Ending::done:
            return Outcome::finished;
        case Ending::failed:
        case Ending::malformed:
            return Outcome::error;
        case Ending::handed_back:
        case Ending::drained_unsent:
            return Outcome::full;
        case Ending::refused:
        case Ending::unreachable:
        case Ending::connect_timed_out:
        case Ending::broken_unsent:
            return Outcome::connect_failed;
        // Ours, and no word on the runner: it was never asked.
        case Ending::out_of_sockets:
        case Ending::stopped_unsent:
        case Ending::withdrawn_unsent:
            return Outcome::not_started;
        case Ending::lost:
        case Ending::broken:
        case Ending::ended_early:
        case Ending::crossed:
        case Ending::closed:
            return Outcome::reset;
        case Ending::stopped:
            return Outcome::timed_out;
        case Ending::withdrawn:
            return Outcome::withdrawn;
    }
    return Outcome::reset;
}

}  // namespace gannethold::dispatcher
