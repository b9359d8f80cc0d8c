// The output of a proxy's request handler, which performs no I/O itself.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cluster/base/error.hpp"
#include "cluster/wire/messages.hpp"

namespace gannethold::cluster {

/// Identifies a client's request; unique within the process.
using RequestId = std::uint64_t;

/// The actions that one or more calls of RequestHandler have collected. The caller executes all of them and
/// discards the object.
struct Actions {
    /// An attempt to send to a runner.
    struct Forward {
        RequestId request = 0;
        std::string runner;
        std::string address;
        std::uint32_t remaining_ms = 0;  ///< until the request's deadline
    };
    /// A response that the proxy generates itself.
    struct LocalReply {
        RequestId request = 0;
        ErrorCode error = ErrorCode::no_slot;
        std::uint32_t retry_after_ms = 0;  ///< 0: the response states none
    };

    std::vector<Message> messages;  ///< to send to the coordinator, in this order
    std::vector<Forward> forwards;
    std::vector<LocalReply> local_replies;
    std::vector<RequestId> relayed_responses;    ///< relay the runner's response to the client
    std::vector<RequestId> cancelled_attempts;   ///< cancel the call to the runner
    std::vector<std::string> probed_addresses;   ///< probe each until it accepts a connection
    std::vector<std::string> evicted_addresses;  ///< close the idle connections to each
};

}  // namespace gannethold::cluster
