// The settings of one process, read from its settings file.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cluster/base/error.hpp"
#include "types.hpp"

namespace gannethold::cluster {

// Plain values; addresses are "ip:port". The comment before each group lists the keys in the file. Unknown
// keys are ignored, because the deployment also passes settings that no process reads.
struct Settings {
    // node_name, zone, ip_address, zones.<zone>
    std::string node_name;
    std::string zone;
    std::string ip_address;
    std::map<std::string, std::string> region_of_zone;

    // listen_addresses.*; empty where the process does not listen
    std::string frontend_address;
    std::string readiness_address;
    std::string control_plane_address;

    // internal_port_range (its first port), seed_addresses (control_plane addresses of controllers)
    std::uint16_t internal_port = 0;
    std::vector<std::string> seed_addresses;

    // initial_start, data_directory (empty: the process has no disk)
    bool is_initial_start = false;
    std::string data_directory;

    // limits.memory_mb, limits.file_descriptors
    std::int64_t memory_limit_mb = 256;
    std::int64_t max_file_descriptors = 1024;

    // platform_api.address, .rate_per_s (list calls), .duty_per_s (starts and stops together), .max_lag_ms
    std::string platform_address;
    double platform_lists_per_s = 1;
    double platform_actions_per_s = 1;
    Micros platform_max_lag = 1'000'000;

    // bounds.contact_timeout_ms, .drain_timeout_ms, .grace_period_s, .reuse_after_s, .catch_up_s
    Micros contact_timeout = 4'000'000;
    Micros drain_timeout = 3'000'000;
    Micros grace_period = 6'000'000;
    Micros address_reuse_delay = 2'000'000;
    Micros catch_up_time = 4'000'000;  // limit for a new or restarted controller to be up to date

    // bounds.retry_budget_ratio, .retry_budget_slack, .budget_window_s, .rejection_slack
    double retry_budget_ratio = 0.2;
    double retry_budget_slack = 0;
    Micros retry_budget_window = 10'000'000;
    double rejection_slack = 10;

    // urgency.late_turn: one in this many slots goes to a request that is past its latency target
    int late_turn = 4;

    // Reads a settings file. Errors: settings_unreadable, and those of parse().
    static leaf::result<Settings> read(const std::string& path);

    // Parses the text of a settings file. Errors: settings_unreadable if it is not a list of a.b=value lines;
    // settings_invalid if a setting is missing or has an invalid value, with its name in the detail.
    static leaf::result<Settings> parse(const std::string& text);

    // Returns the address at which the controller with this control_plane address accepts the cluster's
    // internal messages.
    std::string internal_address_of(const std::string& control_plane) const;
};

}  // namespace gannethold::cluster
