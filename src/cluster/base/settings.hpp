// The settings of one process, as its settings file gives them.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cluster/base/error.hpp"
#include "types.hpp"

namespace gannethold::cluster {

// Plain values; addresses are "ip:port". Beside each group stand the names in the file. Settings that are not
// read are ignored, as the deployment asks.
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

    // platform_api.address, .rate_per_s (of lists), .duty_per_s (of starts and stops together), .max_lag_ms
    std::string platform_address;
    double platform_lists_per_s = 1;
    double platform_actions_per_s = 1;
    Micros platform_max_lag = 1'000'000;

    // bounds.contact_timeout_ms, .drain_timeout_ms, .grace_period_s, .reuse_after_s, .catch_up_s
    Micros contact_timeout = 4'000'000;
    Micros drain_timeout = 3'000'000;
    Micros grace_period = 6'000'000;
    Micros address_reuse_delay = 2'000'000;
    Micros catch_up_time = 4'000'000;  // in which a controller that is new or restarted must be up to date

    // bounds.retry_budget_ratio, .retry_budget_slack, .budget_window_s, .rejection_slack
    double retry_budget_ratio = 0.2;
    double retry_budget_slack = 0;
    Micros retry_budget_window = 10'000'000;
    double rejection_slack = 10;

    // urgency.late_turn: every so many slots, one goes to a request that is past its latency target
    int late_turn = 4;

    // Reads a settings file. Errors: settings_unreadable, and those of parse.
    static leaf::result<Settings> read(const std::string& path);

    // Reads the text of a settings file. Errors: settings_unreadable, where it is not made of a.b=value
    // lines; settings_invalid, whose detail names a setting that is missing or has a value that cannot be
    // used.
    static leaf::result<Settings> parse(const std::string& text);

    // The address for the cluster's own messages of the controller with that control_plane address.
    std::string internal_address_of(const std::string& control_plane) const;
};

}  // namespace gannethold::cluster
