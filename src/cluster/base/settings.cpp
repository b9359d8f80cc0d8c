#include "cluster/base/settings.hpp"

#include <boost/program_options.hpp>
#include <charconv>
#include <fstream>
#include <sstream>

namespace gannethold::cluster {
namespace {

using Table = std::map<std::string, std::string>;

std::vector<std::string> split(const std::string& text) {
    std::vector<std::string> parts;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, ',');)
        if (!part.empty()) parts.push_back(part);
    return parts;
}

class Reader {
  public:
    explicit Reader(const Table& table) : table_(table) {}

    leaf::result<std::string> needed(const std::string& key) const {
        const auto at = table_.find(key);
        if (at == table_.end() || at->second.empty())
            return make_error(ErrorCode::settings_invalid, key + " is missing");
        return at->second;
    }
    std::string text(const std::string& key) const {
        const auto at = table_.find(key);
        return at == table_.end() ? std::string() : at->second;
    }
    // Leaves what stands there where the key is missing.
    leaf::result<void> number(const std::string& key, double& value) const {
        const auto at = table_.find(key);
        if (at == table_.end()) return {};
        const char* const last = at->second.data() + at->second.size();
        double read = 0;
        const auto [end, wrong] = std::from_chars(at->second.data(), last, read);
        if (wrong != std::errc() || end != last || !(read >= 0) || read > 1e12)
            return make_error(ErrorCode::settings_invalid, key + " is no number from 0 on: " + at->second);
        value = read;
        return {};
    }
    leaf::result<void> span(const std::string& key, double unit, Micros& value) const {
        double read = static_cast<double>(value) / unit;
        BOOST_LEAF_CHECK(number(key, read));
        value = static_cast<Micros>(read * unit);
        return {};
    }

  private:
    const Table& table_;
};

}  // namespace

leaf::result<Settings> Settings::read(const std::string& path) {
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    if (!file) return make_error(ErrorCode::settings_unreadable, path + " can not be read");
    return parse(text.str());
}

leaf::result<Settings> Settings::parse(const std::string& text) {
    namespace po = boost::program_options;
    Table table;
    try {
        std::istringstream in(text);
        const po::options_description none;
        for (const auto& option : po::parse_config_file(in, none, true).options)
            if (!option.value.empty()) table[option.string_key] = option.value.front();
    } catch (const po::error& wrong) {
        return make_error(ErrorCode::settings_unreadable, wrong.what());
    }
    const Reader reader(table);
    Settings s;
    BOOST_LEAF_ASSIGN(s.node_name, reader.needed("node_name"));
    BOOST_LEAF_ASSIGN(s.ip_address, reader.needed("ip_address"));
    BOOST_LEAF_ASSIGN(s.zone, reader.needed("zone"));
    BOOST_LEAF_AUTO(ports, reader.needed("internal_port_range"));
    BOOST_LEAF_AUTO(seeds, reader.needed("seed_addresses"));
    BOOST_LEAF_ASSIGN(s.platform, reader.needed("platform_api.address"));
    s.seeds = split(seeds);
    const auto range = split(ports);
    unsigned port = 0;
    if (range.empty() ||
        std::from_chars(range[0].data(), range[0].data() + range[0].size(), port).ec != std::errc() ||
        port == 0 || port > 65535)
        return make_error(ErrorCode::settings_invalid, "internal_port_range is no range of ports: " + ports);
    s.internal_port = static_cast<std::uint16_t>(port);
    for (const auto& [key, value] : table)
        if (key.starts_with("zones.")) s.region_of[key.substr(6)] = value;
    s.frontend = reader.text("listen_addresses.frontend");
    s.readiness = reader.text("listen_addresses.readiness");
    s.control_plane = reader.text("listen_addresses.control_plane");
    s.data_directory = reader.text("data_directory");
    s.initial_start = reader.text("initial_start") == "true";
    double memory = 256;
    double descriptors = 1024;
    BOOST_LEAF_CHECK(reader.number("limits.memory_mb", memory));
    BOOST_LEAF_CHECK(reader.number("limits.file_descriptors", descriptors));
    s.memory_mb = static_cast<std::int64_t>(memory);
    s.descriptors = static_cast<std::int64_t>(descriptors);
    BOOST_LEAF_CHECK(reader.number("platform_api.rate_per_s", s.list_rate_per_s));
    BOOST_LEAF_CHECK(reader.number("platform_api.duty_per_s", s.duty_per_s));
    BOOST_LEAF_CHECK(reader.span("platform_api.max_lag_ms", 1e3, s.list_lag));
    BOOST_LEAF_CHECK(reader.span("bounds.contact_timeout_ms", 1e3, s.contact_timeout));
    BOOST_LEAF_CHECK(reader.span("bounds.drain_timeout_ms", 1e3, s.drain_timeout));
    BOOST_LEAF_CHECK(reader.span("bounds.grace_period_s", 1e6, s.grace_period));
    BOOST_LEAF_CHECK(reader.span("bounds.catch_up_s", 1e6, s.catch_up));
    BOOST_LEAF_CHECK(reader.span("bounds.reuse_after_s", 1e6, s.reuse_after));
    BOOST_LEAF_CHECK(reader.span("bounds.budget_window_s", 1e6, s.budget_window));
    BOOST_LEAF_CHECK(reader.number("bounds.retry_budget_ratio", s.budget_ratio));
    BOOST_LEAF_CHECK(reader.number("bounds.retry_budget_slack", s.budget_slack));
    BOOST_LEAF_CHECK(reader.number("bounds.rejection_slack", s.rejection_slack));
    double turn = s.late_turn;
    BOOST_LEAF_CHECK(reader.number("urgency.late_turn", turn));
    if (turn < 2 || turn > 100)
        return make_error(ErrorCode::settings_invalid, "urgency.late_turn is not from 2 to 100");
    s.late_turn = static_cast<int>(turn);
    return s;
}

std::string Settings::internal_of(const std::string& control) const {
    return control.substr(0, control.rfind(':') + 1) + std::to_string(internal_port);
}

}  // namespace gannethold::cluster
