// What a process is told by its settings file (lines a.b=value). Unknown keys are passed over, as the
// deployment asks; a key that is needed and missing, or has a value that can not be used, is an error that
// names it.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cluster/base/error.hpp"
#include "types.hpp"

namespace gannethold::cluster {

struct Settings {
    std::string node_name, zone, ip_address;
    std::map<std::string, std::string> region_of;    // by zone
    std::string frontend, readiness, control_plane;  // "ip:port"; empty where it is not served
    std::uint16_t internal_port = 0;                 // the first of the range
    std::vector<std::string> seeds;                  // control_plane addresses
    bool initial_start = false;
    std::string data_directory;  // empty: no disk
    std::int64_t memory_mb = 256, descriptors = 1024;
    std::string platform;  // "ip:port"
    double list_rate_per_s = 1, duty_per_s = 1;
    Micros list_lag = 1'000'000;
    Micros contact_timeout = 4'000'000, drain_timeout = 3'000'000, grace_period = 6'000'000,
           reuse_after = 2'000'000;
    Micros catch_up = 4'000'000;  // in which a core machine that is new or back must be whole again
    double budget_ratio = 0.2, budget_slack = 0;
    Micros budget_window = 10'000'000;
    double rejection_slack = 10;
    int late_turn = 4;  // urgency.late_turn: of so many slots one goes to those who are late

    // Errors: settings_unreadable, settings_invalid.
    static leaf::result<Settings> read(const std::string& path);
    static leaf::result<Settings> parse(const std::string& text);
    // Where a member of the core that serves that control_plane address is reached by the system's own
    // processes.
    std::string internal_of(const std::string& control) const;
};

}  // namespace gannethold::cluster
