// Every way in which a connection, or what was under way on it, can end. The dispatcher maps these to the
// module's outcomes in one place; "unsent" means that the last byte of a request was not yet written.
#pragma once

namespace gannethold::net {

enum class Ending {
    // what the peer said
    done,         // the result came
    failed,       // the runner reports an error
    handed_back,  // turned away, or returned before it began
    lost,         // the runner says that the job was killed
    // what happened to the connection
    refused,            // nobody listens there
    unreachable,        // the connect failed in another way
    connect_timed_out,  // it never came up
    out_of_sockets,     // ours: no descriptor or buffer left for it
    broken_unsent,      // reset or ended before the last byte of the request was written
    broken,             // reset after it
    ended_early,        // ended after it, before the last line of the answer
    crossed,            // a kept connection that the peer closed as the request came
    // what we made of it
    malformed,         // an answer that cannot be read; the connection is not used again
    stopped,           // the time it was given is over
    stopped_unsent,    // likewise, before the last byte
    withdrawn,         // called off
    withdrawn_unsent,  // likewise, before the last byte
    drained_unsent,    // the runner drains or is gone, and nothing was written yet
    closed             // ours, with nothing under way
};

const char* name_of(Ending ending);
// Whether the last byte of the request was given to the system before it ended so.
bool written_whole(Ending ending);

}  // namespace gannethold::net
