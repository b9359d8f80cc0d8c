// Why a connection, or the request in flight on it, ended. The dispatcher maps these to outcomes in one
// place. "unsent" means that the last byte of the request had not been written yet.
#pragma once

namespace gannethold::net {

enum class CloseReason {
    // reported by the peer
    done,      // the result was received
    failed,    // the runner reported an error
    returned,  // rejected, or returned before it started
    lost,      // the runner reported that the job was killed
    // failures of the connection
    refused,            // connection refused
    unreachable,        // the connect failed otherwise
    connect_timed_out,  // not established in time
    out_of_sockets,     // this process has no descriptor or buffer left
    broken_unsent,      // reset or closed before the last byte of the request was written
    broken,             // reset after the last byte of the request
    ended_early,        // closed after it, before the end of the response
    stale_connection,   // a kept-alive connection, closed by the peer as the request was sent
    // decided by this process
    malformed,         // the response cannot be parsed; the connection is not reused
    timed_out,         // the time limit has passed
    timed_out_unsent,  // likewise, unsent
    cancelled,         // the request was cancelled
    cancelled_unsent,  // likewise, unsent
    drained_unsent,    // the runner is draining or removed, and nothing was written yet
    closed             // closed by this process, with nothing in flight
};

const char* name_of(CloseReason reason);
// Whether the last byte of the request had been passed to the operating system.
bool is_request_written(CloseReason reason);

}  // namespace gannethold::net
