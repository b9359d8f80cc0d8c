// What the planner asks of the platform, and how the platform answers.
#pragma once

#include <string>
#include <vector>

namespace gannethold::cluster {

struct StartRunner {
    std::string service;
    std::string worker;
    std::string nonce;  // a start that is repeated under its nonce starts nothing twice
    const char* reason = "";
};

struct StopRunner {
    std::string runner;
    const char* reason = "";
};

struct PlatformRequests {
    std::vector<StartRunner> starts;
    std::vector<StopRunner> stops;
};

// busy: to be asked again later. timed_out: it may have been done.
enum class StartResult { started, no_capacity, rejected, busy, timed_out };

}  // namespace gannethold::cluster
