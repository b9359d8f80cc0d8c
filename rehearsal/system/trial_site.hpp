// The small site of gannethold-try-system: how many machines it has, their addresses on loopback, and the
// functions that its clients call.
#pragma once

#include <string>
#include <vector>

namespace gannethold::trial {

inline constexpr int kControllers = 3;
inline constexpr int kProxies = 3;
inline constexpr int kWorkers = 6;
inline constexpr int kZones = 3;

inline const std::string kHost = "try.example";

struct FunctionSpec {
    std::string name;
    int slots = 1;  // requests at once on one runner
    int boot_ms = 0;
    int memory_mb = 0;
    int latency_target_ms = 0;
    int work_ms = 0;   // that a request takes, in the mean
    double share = 0;  // of all requests
};

const std::vector<FunctionSpec>& functions();
/// nullptr: there is none of that name.
const FunctionSpec* find_function(const std::string& name);

/// All addresses are in 127.<network>.0.0 from here on, so that several sites may run at once; 0 unless set.
/// REQUIRES: 0 to 255, and no address was asked for before.
void set_network(int network);

std::string platform_address();        // "ip:port"
std::string runner_address(int port);  // "ip:port"
// Indexes count from 0.
std::string controller_ip(int index);
std::string controller_address(int index);  // "ip:port" of its operators' interface
std::string proxy_ip(int index);
std::string proxy_address(int index);  // "ip:port" for clients
std::string zone_name(int index);

}  // namespace gannethold::trial
