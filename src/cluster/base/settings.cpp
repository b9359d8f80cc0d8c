#include "cluster/base/settings.hpp"

#include <charconv>
#include <fstream>
#include <sstream>
#include <system_error>

#include "cluster/base/settings_file.hpp"

namespace gannethold::cluster {
namespace {

constexpr unsigned kMaxPort = 65535;
constexpr double kMinLateTurn = 2;
constexpr double kMaxLateTurn = 100;

leaf::result<std::uint16_t> first_port(const std::string& range) {
    const std::vector<std::string> ports = split_list(range);
    unsigned port = 0;
    const bool is_number =
        !ports.empty() &&
        std::from_chars(ports[0].data(), ports[0].data() + ports[0].size(), port).ec == std::errc();
    if (!is_number || port == 0 || port > kMaxPort)
        return make_error(ErrorCode::settings_invalid, "internal_port_range is not a port range: " + range);
    return static_cast<std::uint16_t>(port);
}

// Reads the process's name and location, its listen addresses and the addresses of its peers. All settings
// without a default are among them.
leaf::result<void> read_identity(const SettingsFile& file, Settings& settings) {
    BOOST_LEAF_ASSIGN(settings.node_name, file.required_text("node_name"));
    BOOST_LEAF_ASSIGN(settings.ip_address, file.required_text("ip_address"));
    BOOST_LEAF_ASSIGN(settings.zone, file.required_text("zone"));
    BOOST_LEAF_AUTO(port_range, file.required_text("internal_port_range"));
    BOOST_LEAF_AUTO(seed_addresses, file.required_text("seed_addresses"));
    BOOST_LEAF_ASSIGN(settings.platform_address, file.required_text("platform_api.address"));
    BOOST_LEAF_ASSIGN(settings.internal_port, first_port(port_range));
    settings.seed_addresses = split_list(seed_addresses);
    settings.region_of_zone = file.with_prefix("zones.");
    settings.frontend_address = file.text("listen_addresses.frontend");
    settings.readiness_address = file.text("listen_addresses.readiness");
    settings.control_plane_address = file.text("listen_addresses.control_plane");
    settings.data_directory = file.text("data_directory");
    settings.is_initial_start = file.text("initial_start") == "true";
    return {};
}

leaf::result<void> read_limits(const SettingsFile& file, Settings& settings) {
    BOOST_LEAF_AUTO(memory_mb,
                    file.number("limits.memory_mb", static_cast<double>(settings.memory_limit_mb)));
    BOOST_LEAF_AUTO(descriptors, file.number("limits.file_descriptors",
                                             static_cast<double>(settings.max_file_descriptors)));
    settings.memory_limit_mb = static_cast<std::int64_t>(memory_mb);
    settings.max_file_descriptors = static_cast<std::int64_t>(descriptors);
    return {};
}

leaf::result<void> read_platform(const SettingsFile& file, Settings& settings) {
    BOOST_LEAF_ASSIGN(settings.platform_lists_per_s,
                      file.number("platform_api.rate_per_s", settings.platform_lists_per_s));
    BOOST_LEAF_ASSIGN(settings.platform_actions_per_s,
                      file.number("platform_api.duty_per_s", settings.platform_actions_per_s));
    BOOST_LEAF_ASSIGN(settings.platform_max_lag,
                      file.time("platform_api.max_lag_ms", kMicrosPerMs, settings.platform_max_lag));
    return {};
}

leaf::result<void> read_timeouts(const SettingsFile& file, Settings& settings) {
    BOOST_LEAF_ASSIGN(settings.contact_timeout,
                      file.time("bounds.contact_timeout_ms", kMicrosPerMs, settings.contact_timeout));
    BOOST_LEAF_ASSIGN(settings.drain_timeout,
                      file.time("bounds.drain_timeout_ms", kMicrosPerMs, settings.drain_timeout));
    BOOST_LEAF_ASSIGN(settings.grace_period,
                      file.time("bounds.grace_period_s", kMicrosPerSecond, settings.grace_period));
    BOOST_LEAF_ASSIGN(settings.catch_up_time,
                      file.time("bounds.catch_up_s", kMicrosPerSecond, settings.catch_up_time));
    BOOST_LEAF_ASSIGN(settings.address_reuse_delay,
                      file.time("bounds.reuse_after_s", kMicrosPerSecond, settings.address_reuse_delay));
    return {};
}

leaf::result<void> read_budgets(const SettingsFile& file, Settings& settings) {
    BOOST_LEAF_ASSIGN(settings.retry_budget_window,
                      file.time("bounds.budget_window_s", kMicrosPerSecond, settings.retry_budget_window));
    BOOST_LEAF_ASSIGN(settings.retry_budget_ratio,
                      file.number("bounds.retry_budget_ratio", settings.retry_budget_ratio));
    BOOST_LEAF_ASSIGN(settings.retry_budget_slack,
                      file.number("bounds.retry_budget_slack", settings.retry_budget_slack));
    BOOST_LEAF_ASSIGN(settings.rejection_slack,
                      file.number("bounds.rejection_slack", settings.rejection_slack));
    return {};
}

leaf::result<void> read_urgency(const SettingsFile& file, Settings& settings) {
    BOOST_LEAF_AUTO(late_turn, file.number("urgency.late_turn", settings.late_turn));
    if (late_turn < kMinLateTurn || late_turn > kMaxLateTurn)
        return make_error(ErrorCode::settings_invalid, "urgency.late_turn is not between 2 and 100");
    settings.late_turn = static_cast<int>(late_turn);
    return {};
}

}  // namespace

leaf::result<Settings> Settings::read(const std::string& path) {
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    if (!file) return make_error(ErrorCode::settings_unreadable, path + " cannot be read");
    return parse(text.str());
}

leaf::result<Settings> Settings::parse(const std::string& text) {
    BOOST_LEAF_AUTO(file, SettingsFile::parse(text));
    Settings settings;
    BOOST_LEAF_CHECK(read_identity(file, settings));
    BOOST_LEAF_CHECK(read_limits(file, settings));
    BOOST_LEAF_CHECK(read_platform(file, settings));
    BOOST_LEAF_CHECK(read_timeouts(file, settings));
    BOOST_LEAF_CHECK(read_budgets(file, settings));
    BOOST_LEAF_CHECK(read_urgency(file, settings));
    return settings;
}

std::string Settings::internal_address_of(const std::string& control_plane) const {
    return control_plane.substr(0, control_plane.rfind(':') + 1) + std::to_string(internal_port);
}

}  // namespace gannethold::cluster
