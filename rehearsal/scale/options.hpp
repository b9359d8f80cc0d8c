// What a scale run is told to do, and whether it can be done.
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace gannethold::scale {

/// What is done to the system while it runs, one after the other.
enum class Fault {
    leader_killed,
    all_killed,
    half_reconnect,
    zone_cut,
};

/// The word for a fault in flags and reports.
const char* name_of(Fault fault);

/// The size of a run and what happens in it.
struct Options {
    int controllers = 3;
    int proxies = 30;      // hollow ones
    int real_proxies = 1;  // processes of gannethold-proxy
    int threads = 2;       // that the hollow proxies are spread over
    int functions = 1000;
    int instances = 7000;
    int workers = 64;
    int zones = 8;
    double calls = 100;         // a second, of all hollow proxies together
    double real_calls = 5;      // a second, over HTTP, of all real proxies together
    double changes = 12;        // of the configuration, a minute
    double skew = 1.0;          // of calls over functions: the exponent of Zipf's law
    int seconds = 20;           // of the steady part, before the faults
    int list_page = 1000;       // instances on a page of the platform's list
    double list_rate = 25;      // pages a second
    double duty_rate = 100;     // starts and stops a second
    int start_ms = 1100;        // a start of an instance
    int work_ms = 80;           // a call at work
    int target_ms = 1500;       // of each route
    int redial_ms = 60;         // between two tries of a hollow proxy to reach a controller
    int redial_most_ms = 60;    // over the first: the pause doubles up to it, with jitter
    int register_recent_s = 0;  // a registration names instances of functions called so lately; 0: all known
    int memory_mb = 256;        // that controllers and proxies are told as their limit
    int subnet = 9;             // addresses are 127.SUBNET.x.y
    std::vector<Fault> faults;
};

/// Reads a list like "leader,all"; on a fault `wrong` names the word that is not known.
std::vector<Fault> read_faults(const std::string& text, std::string& wrong);

/// Why a run can not be made, naming the flag; nothing: it can.
std::optional<std::string> wrong_with(const Options& options);

}  // namespace gannethold::scale
