// The planner's requests to the platform and their results.
#pragma once

#include <string>
#include <vector>

namespace gannethold::cluster {

struct StartRunner {
    std::string service;
    std::string worker;
    std::string nonce;  // a start that is retried with the same nonce does not start a second runner
    const char* reason = "";
};

struct StopRunner {
    std::string runner;  // its id
    const char* reason = "";
};

struct PlatformRequests {
    std::vector<StartRunner> starts;
    std::vector<StopRunner> stops;
};

// busy: the request is to be retried later. timed_out: the runner may have been started.
enum class StartResult { started, no_capacity, rejected, busy, timed_out };

}  // namespace gannethold::cluster
