// What a proxy's request handler wants done: it does no I/O itself.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cluster/base/error.hpp"
#include "cluster/wire/messages.hpp"

namespace gannethold::cluster {

/// A client's request, unique within the process.
using RequestId = std::uint64_t;

/// Collected by one or more calls of RequestHandler; the caller carries all of it out and then drops it.
struct Actions {
    /// An attempt to be sent to a runner.
    struct Forward {
        RequestId request = 0;
        std::string runner;
        std::string address;
        std::uint32_t remaining_ms = 0;  ///< until the request's deadline
    };
    /// A response that the proxy makes itself.
    struct LocalReply {
        RequestId request = 0;
        ErrorCode error = ErrorCode::no_slot;
        std::uint32_t retry_after_ms = 0;  ///< 0: none is stated
    };

    std::vector<Message> messages;  ///< to the coordinator, in this order
    std::vector<Forward> forwards;
    std::vector<LocalReply> local_replies;
    std::vector<RequestId> relayed_responses;    ///< the runner's response goes to the client unchanged
    std::vector<RequestId> cancelled_attempts;   ///< the call to the runner is cancelled
    std::vector<std::string> probed_addresses;   ///< connect to it until that works
    std::vector<std::string> evicted_addresses;  ///< close the idle connections there
};

}  // namespace gannethold::cluster
