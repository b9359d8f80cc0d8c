#include "dispatcher/dispatcher_config.hpp"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iterator>

#include "balancer.hpp"
#include "json/json.hpp"
#include "settings/settings_format.hpp"
#include "balancer_settings.hpp"

namespace gannethold::dispatcher {
namespace {

// Indices of zones, kinds, peers and reported values are stored in many places, and the way in which the list
// of runners is obtained is fixed at the start; so these settings take effect only at a restart.
constexpr const char* kRestartOnlySettings[] = {
    "dispatchers", "kinds",         "me",         "caps.may_tell",
    "reports.how", "reports.names", "roster.how", "rules.only_draining_binds",
    "zone",        "zones"};

std::string scalar_text(const json::Value& value) {
    if (const auto* text = value.get<std::string>()) {
        std::string flat = *text;
        std::replace_if(
            flat.begin(), flat.end(), [](char c) { return c == ' ' || c == ',' || c == '\n'; }, '_');
        return flat;
    }
    if (const auto* flag = value.get<bool>()) return *flag ? "true" : "false";
    if (const auto* number = value.get<json::Number>()) return number->text;
    return "";
}

// Converts the JSON settings to lines NAME=VALUE, as settings::parse_settings reads them.
void flatten(const std::string& path, const json::Value& value, std::string& lines) {
    const std::string prefix = path.empty() ? "" : path + ".";
    if (const auto* object = value.get<json::Object>()) {
        for (const auto& [name, item] : *object) flatten(prefix + name, item, lines);
    } else if (const auto* list = value.get<json::Array>()) {
        if (!list->empty() && list->front().get<json::Object>()) {
            lines += prefix + "count=" + std::to_string(list->size()) + "\n";
            for (std::size_t i = 0; i < list->size(); ++i)
                flatten(prefix + std::to_string(i), (*list)[i], lines);
            return;
        }
        lines += path + "=";
        for (const auto& item : *list) {
            if (&item != &list->front()) lines += ",";
            lines += scalar_text(item);
        }
        lines += "\n";
    } else {
        lines += path + "=" + scalar_text(value) + "\n";
    }
}

net::Address read_address(const json::Value& all, const char* name) {
    const std::string* const text = all.find_string(name);
    if (!text) throw std::runtime_error(std::string("the configuration names no ") + name + " address");
    const auto read = net::Address::parse(*text);
    if (!read) throw std::runtime_error(std::string("the ") + name + " address is none: " + *text);
    return *read;
}

std::size_t read_limit(const json::Value& all, const char* name, std::size_t default_value) {
    const json::Value* const limits = all.find("limits");
    const auto value = limits ? limits->find_number(name) : std::nullopt;
    if (!value) return default_value;
    if (!(*value >= 1 && *value < 1e9))
        throw std::runtime_error(std::string("the limit is no number: ") + name);
    return static_cast<std::size_t>(*value);
}

peers::PeerAddresses read_peers(const json::Value& all) {
    peers::PeerAddresses addresses;
    if (all.find("peer_listen")) addresses.listen = read_address(all, "peer_listen");
    const json::Value* const listed = all.find("peers");
    const json::Array* const list = listed ? listed->get<json::Array>() : nullptr;
    for (const json::Value& item : list ? *list : json::Array{}) {
        const auto read = net::Address::parse(scalar_text(item));
        if (!read) throw std::runtime_error("a peer's address is none: " + json::serialize(item));
        addresses.all.push_back(*read);
    }
    if (const auto* settings = all.find("settings"))
        addresses.own_index =
            static_cast<std::size_t>(std::max(0.0, settings->find_number("me").value_or(0)));
    return addresses;
}

// Settings of a workload that have no default.
constexpr const char* kRequiredWorkloadSettings[] = {"name", "effect", "due_time_us", "expiry_us"};
constexpr double kMaxDurationMicros = 30.0 * 86'400e6;  // 30 days: longer durations are mistakes

void collect_names(const std::string& prefix, const json::Value& value, int depth,
                   std::set<std::string>& names) {
    const auto* const object = value.get<json::Object>();
    if (!object || depth == 0) return;
    for (const auto& [name, item] : *object) {
        names.insert(prefix + name);
        if (prefix.empty() ? name == "settings" : true)
            collect_names(prefix + name + ".", item, depth - 1, names);
    }
}

[[noreturn]] void reject(const std::string& what) { throw std::runtime_error("the configuration " + what); }

// The bounds of the settings that the Balancer reads. It would silently clamp values outside them.
struct Bounds {
    const char* name;
    double min, max;
};
constexpr Bounds kNumberBounds[] = {{"dispatchers", 1, 1e6},
                                    {"me", 0, 1e6},
                                    {"resolution_us", 1, 60e6},
                                    {"caps.max_assignments", 1, 1e6},
                                    {"caps.max_retry_after_us", 0, kMaxDurationMicros},
                                    {"caps.keepalive_us", 0, kMaxDurationMicros},
                                    {"customers.count", 0, 1e5},
                                    {"importance.surplus", 0, 1e6},
                                    {"rules.cold_from", 0, 1},
                                    {"rules.warm_after_us", 0, kMaxDurationMicros},
                                    {"rules.fall_multiple", 0.001, 1e6},
                                    {"rules.tip_after_us", 0, kMaxDurationMicros},
                                    {"rules.must_ask_in_us", 0, kMaxDurationMicros},
                                    {"rules.drain_grace_us", 0, kMaxDurationMicros},
                                    {"zone", 0, 1e6}};
constexpr Bounds kWorkloadNumberBounds[] = {{"window_us", 0, kMaxDurationMicros},
                                            {"importance", 0, 1e9},
                                            {"tardy_importance", 0, 1},
                                            {"aim_stretch", 0, 1e6},
                                            {"machine_kind", -1, 255}};
constexpr const char* kBoolSettings[] = {
    "caps.cancelling",     "caps.parallel_tries",      "caps.probes", "caps.retry_after", "trade.tells_start",
    "clients.marks_retry", "rules.only_draining_binds"};

void check_bounds(const SettingsReader& settings, const std::string& at, const Bounds& b) {
    const std::string name = at + b.name;
    const double value = settings.get_number(name, b.min);
    if (value >= b.min && value <= b.max) return;
    std::string bounds[2];
    for (int i = 0; i < 2; ++i) {
        char text[32];
        const auto [end, bad] = std::to_chars(text, text + sizeof text, i == 0 ? b.min : b.max);
        bounds[i].assign(text, bad == std::errc() ? end : text);
    }
    reject("has settings." + settings::external_name(name) + " = " + settings.get_string(name, "") +
           ", and a number from " + bounds[0] + " to " + bounds[1] + " is expected");
}

// Rejects incomplete or invalid settings before any of them is applied.
void check_settings(const DispatcherConfig& config) {
    const SettingsReader settings(config.settings);
    for (const Bounds& b : kNumberBounds) check_bounds(settings, "", b);
    for (const char* const name : kBoolSettings) settings.get_bool(name);
    if (settings.get_number("me", 0) >= settings.get_number("dispatchers", 1))
        reject("has settings.me = " + settings.get_string("me", "") +
               ", and a number below that of the dispatchers is expected");
    const auto one_of = [&](const std::string& name, const std::string& a, const std::string& b) {
        if (const std::string word = settings.get_string(name, a); word != a && word != b)
            reject("has settings." + settings::external_name(name) + " = " + word + ", and " + a + " or " +
                   b + " is expected");
    };
    one_of("roster.how", "pushed", "on_request"), one_of("importance.by", "request", "work");
    for (std::size_t i = 0; i < settings.get_list("trade.class_stretch").size(); ++i)
        if (const double x = settings.get_list_number("trade.class_stretch", i, 0); !(x >= 0 && x <= 1e6))
            reject("has settings.specifics.class_stretch with " +
                   settings.get_list("trade.class_stretch")[i] +
                   ", and numbers from 0 to 1e+06 are expected");
    const auto customers = static_cast<std::size_t>(settings.get_number("customers.count", 0));
    for (std::size_t i = 0; i < customers; ++i)
        check_bounds(settings, "customers." + std::to_string(i) + ".", {"allowance_per_s", 0, 1e9});
    const std::size_t n = config.workload_count();
    if (n == 0) reject("has no workloads");
    std::set<std::string> names;
    for (std::size_t i = 0; i < n; ++i) {
        const std::string at = "workloads." + std::to_string(i) + ".";
        for (const char* const name : kRequiredWorkloadSettings)
            if (settings.get_string(at + name, "").empty()) reject("is short of settings." + at + name);
        if (!names.insert(settings.get_string(at + "name", "")).second)
            reject("names a workload twice: " + settings.get_string(at + "name", ""));
        for (const Bounds& b : kWorkloadNumberBounds) check_bounds(settings, at, b);
        const std::string effect = settings.get_string(at + "effect", "");
        if (effect != "idempotent" && effect != "fingerprinted" && effect != "side-effecting")
            reject("knows an effect that is none: settings." + at + "effect is " + effect);
        for (const char* const time : {"due_time_us", "expiry_us"})
            if (const double t = settings.get_number(at + time, 0); !(t >= 1 && t <= kMaxDurationMicros))
                reject("has a time that cannot be: settings." + at + time);
    }
}

}  // namespace

DispatcherConfig DispatcherConfig::read(const std::string& text) {
    json::Value all;
    try {
        all = json::parse(text);
    } catch (const json::ParseError& e) {
        throw std::runtime_error(std::string("the configuration is not JSON: ") + e.what());
    }
    DispatcherConfig config;
    if (const auto* name = all.find_string("name")) config.name = *name;
    config.listen = read_address(all, "listen");
    config.discovery = read_address(all, "discovery");
    if (all.find("admin")) config.admin_address = read_address(all, "admin");
    config.peer_addresses = read_peers(all);
    if (const auto* seed = all.find_string("seed")) {
        const auto [end, error] = std::from_chars(seed->data(), seed->data() + seed->size(), config.seed, 16);
        if (error != std::errc() || end != seed->data() + seed->size())
            throw std::runtime_error("the seed is no hexadecimal number: " + *seed);
    }
    config.memory_mb = read_limit(all, "memory_mb", config.memory_mb);
    config.sockets = read_limit(all, "sockets", config.sockets);
    if (const auto* known_runners = all.find("known")) {
        const auto listing = membership::parse_endpoint_list(*known_runners);
        if (!listing) throw std::runtime_error("the known list of runners cannot be read");
        config.known_runners = *listing;
    }
    const json::Value* const settings = all.find("settings");
    if (!settings || !settings->get<json::Object>())
        throw std::runtime_error("the configuration has no settings");
    std::string lines;
    flatten("", *settings, lines);
    config.settings = settings::parse_settings(lines);
    if (const auto* reporting = settings->find("reporting"))
        if (const auto* names = reporting->find("names"); names && names->get<json::Array>())
            for (const json::Value& name : *names->get<json::Array>())
                config.report_names.push_back(scalar_text(name));
    collect_names("", all, 3, config.stated_names);
    check_settings(config);
    const Balancer validated_settings(config.settings, config.seed);
    return config;
}

std::vector<std::string> DispatcherConfig::restart_only_differences(const DispatcherConfig& other) const {
    const auto texts = [](const peers::PeerAddresses& n) {
        std::string all = n.listen ? n.listen->text : "";
        for (const net::Address& item : n.all) all += " " + item.text;
        return all;
    };
    std::vector<std::string> differ;
    if (name != other.name) differ.emplace_back("name");
    if (listen.text != other.listen.text) differ.emplace_back("listen");
    if ((admin_address ? admin_address->text : "") != (other.admin_address ? other.admin_address->text : ""))
        differ.emplace_back("admin");
    if (texts(peer_addresses) != texts(other.peer_addresses)) differ.emplace_back("peers");
    if (memory_mb != other.memory_mb || sockets != other.sockets) differ.emplace_back("limits");
    for (const char* const name : kRestartOnlySettings)
        if (SettingsReader(settings).get_string(name, "") !=
            SettingsReader(other.settings).get_string(name, ""))
            differ.push_back(std::string("settings: ") + name);
    return differ;
}

void DispatcherConfig::check_states_all_of(const DispatcherConfig& in_force) const {
    for (const std::string& name : in_force.stated_names)
        if (!stated_names.contains(name)) reject("is short of " + name + ", which the one in force states");
}

void DispatcherConfig::keep_restart_only_settings(const DispatcherConfig& in_force) {
    for (const char* const name : kRestartOnlySettings) {
        const auto kept = in_force.settings.find(name);
        if (kept == in_force.settings.end())
            settings.erase(name);
        else
            settings[name] = kept->second;
    }
    report_names = in_force.report_names;
}

std::size_t DispatcherConfig::workload_count() const {
    return static_cast<std::size_t>(
        std::clamp(SettingsReader(settings).get_number("workloads.count", 0), 0.0, 1e4));
}

DispatcherConfig DispatcherConfig::read_file(const std::string& path) {
    std::ifstream file(path);
    if (!file) throw std::runtime_error("cannot read the configuration " + path);
    return read({std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()});
}

}  // namespace gannethold::dispatcher
