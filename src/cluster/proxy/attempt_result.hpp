// The outcome of one attempt to have a runner process a request.
#pragma once

namespace gannethold::cluster {

/// The outcome of an attempt, by whether the request has run.
enum class AttemptResult {
    succeeded,        ///< a complete response to this request was received
    runner_error,     ///< a complete response with a 5xx status of the runner's own: the request has run
    rejected,         ///< the runner states that the request has not run
    misdirected,      ///< the same, because the address now belongs to another runner
    connect_failed,   ///< no connection was established: nothing was sent
    not_sent,         ///< the request's head was not sent completely: the request has not run
    outcome_unknown,  ///< the request may have run
};

}  // namespace gannethold::cluster
