// How one attempt of a request at a runner ended.
#pragma once

namespace gannethold::cluster {

enum class AttemptResult {
    succeeded,        ///< a complete response to this request
    runner_error,     ///< likewise, a 5xx of the runner's own: the request has run
    rejected,         ///< the runner states that the request has not run
    misdirected,      ///< likewise: another runner has the address by now
    connect_failed,   ///< no connection: nothing was sent
    not_sent,         ///< the request's head was not sent completely: it has not run
    outcome_unknown,  ///< it may have run
};

}  // namespace gannethold::cluster
