#include "dispatcher/posting.hpp"

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

// Numbers of zones, kinds, peers and reported values are in use all over, and so is the way by which the list
// comes.
constexpr const char* kUntilRestart[] = {
    "dispatchers", "kinds",         "me",         "caps.may_tell",
    "reports.how", "reports.names", "roster.how", "rules.only_draining_binds",
    "zone",        "zones"};

std::string scalar(const json::Value& value) {
    if (const auto* text = value.get<std::string>()) {
        std::string flat = *text;
        std::replace_if(
            flat.begin(), flat.end(), [](char c) { return c == ' ' || c == ',' || c == '\n'; }, '_');
        return flat;
    }
    if (const auto* yes = value.get<bool>()) return *yes ? "true" : "false";
    if (const auto* number = value.get<json::Number>()) return number->text;
    return "";
}

// The settings as the lines in which the bench gives them.
void flatten(const std::string& path, const json::Value& value, std::string& lines) {
    const std::string under = path.empty() ? "" : path + ".";
    if (const auto* object = value.get<json::Object>()) {
        for (const auto& [name, item] : *object) flatten(under + name, item, lines);
    } else if (const auto* list = value.get<json::Array>()) {
        if (!list->empty() && list->front().get<json::Object>()) {
            lines += under + "count=" + std::to_string(list->size()) + "\n";
            for (std::size_t i = 0; i < list->size(); ++i)
                flatten(under + std::to_string(i), (*list)[i], lines);
            return;
        }
        lines += path + "=";
        for (const auto& item : *list) {
            if (&item != &list->front()) lines += ",";
            lines += scalar(item);
        }
        lines += "\n";
    } else {
        lines += path + "=" + scalar(value) + "\n";
    }
}

net::Address address(const json::Value& all, const char* name) {
    const std::string* const text = all.find_string(name);
    if (!text) throw std::runtime_error(std::string("the configuration names no ") + name + " address");
    const auto read = net::Address::parse(*text);
    if (!read) throw std::runtime_error(std::string("the ") + name + " address is none: " + *text);
    return *read;
}

std::size_t limit(const json::Value& all, const char* name, std::size_t otherwise) {
    const json::Value* const limits = all.find("limits");
    const auto value = limits ? limits->find_number(name) : std::nullopt;
    if (!value) return otherwise;
    if (!(*value >= 1 && *value < 1e9))
        throw std::runtime_error(std::string("the limit is no number: ") + name);
    return static_cast<std::size_t>(*value);
}

peers::Neighbours read_neighbours(const json::Value& all) {
    peers::Neighbours n;
    if (all.find("peer_listen")) n.listen = address(all, "peer_listen");
    const json::Value* const listed = all.find("peers");
    const json::Array* const list = listed ? listed->get<json::Array>() : nullptr;
    for (const json::Value& one : list ? *list : json::Array{}) {
        const auto read = net::Address::parse(scalar(one));
        if (!read) throw std::runtime_error("a peer's address is none: " + json::serialize(one));
        n.all.push_back(*read);
    }
    if (const auto* settings = all.find("settings"))
        n.me = static_cast<std::size_t>(std::max(0.0, settings->find_number("me").value_or(0)));
    return n;
}

// What no default can stand for.
constexpr const char* kStatedOfWorkloads[] = {"name", "effect", "due_time_us", "expiry_us"};
constexpr double kLongest = 30.0 * 86'400e6;  // microseconds; what is longer is a mistake

void collect_names(const std::string& under, const json::Value& value, int depth,
                   std::set<std::string>& names) {
    const auto* const object = value.get<json::Object>();
    if (!object || depth == 0) return;
    for (const auto& [name, item] : *object) {
        names.insert(under + name);
        if (under.empty() ? name == "settings" : true)
            collect_names(under + name + ".", item, depth - 1, names);
    }
}

[[noreturn]] void wrong(const std::string& what) { throw std::runtime_error("the configuration " + what); }

// What the module reads, with the bounds of what can be meant: what it would else quietly take for something
// near.
struct Bounds {
    const char* name;
    double least, most;
};
constexpr Bounds kNumbers[] = {{"dispatchers", 1, 1e6},
                               {"me", 0, 1e6},
                               {"resolution_us", 1, 60e6},
                               {"caps.max_assignments", 1, 1e6},
                               {"caps.max_retry_after_us", 0, kLongest},
                               {"caps.keepalive_us", 0, kLongest},
                               {"customers.count", 0, 1e5},
                               {"importance.surplus", 0, 1e6},
                               {"rules.cold_from", 0, 1},
                               {"rules.warm_after_us", 0, kLongest},
                               {"rules.fall_multiple", 0.001, 1e6},
                               {"rules.tip_after_us", 0, kLongest},
                               {"rules.must_ask_in_us", 0, kLongest},
                               {"rules.drain_grace_us", 0, kLongest},
                               {"zone", 0, 1e6}};
constexpr Bounds kNumbersOfWorkloads[] = {{"window_us", 0, kLongest},
                                          {"importance", 0, 1e9},
                                          {"tardy_importance", 0, 1},
                                          {"aim_stretch", 0, 1e6},
                                          {"machine_kind", -1, 255}};
constexpr const char* kYesOrNo[] = {"caps.cancelling",          "caps.parallel_tries", "caps.probes",
                                    "caps.retry_after",         "trade.tells_start",   "clients.marks_retry",
                                    "rules.only_draining_binds"};

void must_lie_within(const SettingsReader& orders, const std::string& at, const Bounds& b) {
    const std::string name = at + b.name;
    const double value = orders.get_number(name, b.least);
    if (value >= b.least && value <= b.most) return;
    std::string bounds[2];
    for (int i = 0; i < 2; ++i) {
        char text[32];
        const auto [end, bad] = std::to_chars(text, text + sizeof text, i == 0 ? b.least : b.most);
        bounds[i].assign(text, bad == std::errc() ? end : text);
    }
    wrong("has settings." + settings::external_name(name) + " = " + orders.get_string(name, "") +
          ", and a number from " + bounds[0] + " to " + bounds[1] + " is expected");
}

// Against a file that is short of something or has nonsense in it, before any of it is believed.
void must_make_sense(const Posting& p) {
    const SettingsReader orders(p.orders);
    for (const Bounds& b : kNumbers) must_lie_within(orders, "", b);
    for (const char* const name : kYesOrNo) orders.get_bool(name);
    if (orders.get_number("me", 0) >= orders.get_number("dispatchers", 1))
        wrong("has settings.me = " + orders.get_string("me", "") +
              ", and a number below that of the dispatchers is expected");
    const auto one_of = [&](const std::string& name, const std::string& a, const std::string& b) {
        if (const std::string word = orders.get_string(name, a); word != a && word != b)
            wrong("has settings." + settings::external_name(name) + " = " + word + ", and " + a + " or " + b +
                  " is expected");
    };
    one_of("roster.how", "pushed", "on_request"), one_of("importance.by", "request", "work");
    for (std::size_t i = 0; i < orders.get_list("trade.class_stretch").size(); ++i)
        if (const double x = orders.get_list_number("trade.class_stretch", i, 0); !(x >= 0 && x <= 1e6))
            wrong("has settings.specifics.class_stretch with " + orders.get_list("trade.class_stretch")[i] +
                  ", and numbers from 0 to 1e+06 are expected");
    const auto customers = static_cast<std::size_t>(orders.get_number("customers.count", 0));
    for (std::size_t i = 0; i < customers; ++i)
        must_lie_within(orders, "customers." + std::to_string(i) + ".", {"allowance_per_s", 0, 1e9});
    const std::size_t n = p.workloads();
    if (n == 0) wrong("has no workloads");
    std::set<std::string> names;
    for (std::size_t i = 0; i < n; ++i) {
        const std::string at = "workloads." + std::to_string(i) + ".";
        for (const char* const name : kStatedOfWorkloads)
            if (orders.get_string(at + name, "").empty()) wrong("is short of settings." + at + name);
        if (!names.insert(orders.get_string(at + "name", "")).second)
            wrong("names a workload twice: " + orders.get_string(at + "name", ""));
        for (const Bounds& b : kNumbersOfWorkloads) must_lie_within(orders, at, b);
        const std::string effect = orders.get_string(at + "effect", "");
        if (effect != "idempotent" && effect != "fingerprinted" && effect != "side-effecting")
            wrong("knows an effect that is none: settings." + at + "effect is " + effect);
        for (const char* const time : {"due_time_us", "expiry_us"})
            if (const double t = orders.get_number(at + time, 0); !(t >= 1 && t <= kLongest))
                wrong("has a time that cannot be: settings." + at + time);
    }
}

}  // namespace

Posting Posting::read(const std::string& text) {
    json::Value all;
    try {
        all = json::parse(text);
    } catch (const json::ParseError& e) {
        throw std::runtime_error(std::string("the configuration is not JSON: ") + e.what());
    }
    Posting p;
    if (const auto* name = all.find_string("name")) p.name = *name;
    p.listen = address(all, "listen");
    p.discovery = address(all, "discovery");
    if (all.find("admin")) p.window = address(all, "admin");
    p.neighbours = read_neighbours(all);
    if (const auto* seed = all.find_string("seed")) {
        const auto [end, wrong] = std::from_chars(seed->data(), seed->data() + seed->size(), p.seed, 16);
        if (wrong != std::errc() || end != seed->data() + seed->size())
            throw std::runtime_error("the seed is no hexadecimal number: " + *seed);
    }
    p.memory_mb = limit(all, "memory_mb", p.memory_mb);
    p.sockets = limit(all, "sockets", p.sockets);
    if (const auto* known = all.find("known")) {
        const auto listing = membership::parse_endpoint_list(*known);
        if (!listing) throw std::runtime_error("the known list of runners cannot be read");
        p.known = *listing;
    }
    const json::Value* const settings = all.find("settings");
    if (!settings || !settings->get<json::Object>())
        throw std::runtime_error("the configuration has no settings");
    std::string lines;
    flatten("", *settings, lines);
    p.orders = settings::parse_settings(lines);
    if (const auto* reporting = settings->find("reporting"))
        if (const auto* names = reporting->find("names"); names && names->get<json::Array>())
            for (const json::Value& name : *names->get<json::Array>()) p.report_names.push_back(scalar(name));
    collect_names("", all, 3, p.stated);
    must_make_sense(p);
    const Balancer reads_every_order(p.orders, p.seed);
    return p;
}

std::vector<std::string> Posting::differences_for_restart(const Posting& other) const {
    const auto texts = [](const peers::Neighbours& n) {
        std::string all = n.listen ? n.listen->text : "";
        for (const net::Address& one : n.all) all += " " + one.text;
        return all;
    };
    std::vector<std::string> differ;
    if (name != other.name) differ.emplace_back("name");
    if (listen.text != other.listen.text) differ.emplace_back("listen");
    if ((window ? window->text : "") != (other.window ? other.window->text : ""))
        differ.emplace_back("admin");
    if (texts(neighbours) != texts(other.neighbours)) differ.emplace_back("peers");
    if (memory_mb != other.memory_mb || sockets != other.sockets) differ.emplace_back("limits");
    for (const char* const name : kUntilRestart)
        if (SettingsReader(orders).get_string(name, "") != SettingsReader(other.orders).get_string(name, ""))
            differ.push_back(std::string("settings: ") + name);
    return differ;
}

void Posting::must_state_all_of(const Posting& in_force) const {
    for (const std::string& name : in_force.stated)
        if (!stated.contains(name)) wrong("is short of " + name + ", which the one in force states");
}

void Posting::keep_until_restart(const Posting& in_force) {
    for (const char* const name : kUntilRestart) {
        const auto kept = in_force.orders.find(name);
        if (kept == in_force.orders.end())
            orders.erase(name);
        else
            orders[name] = kept->second;
    }
    report_names = in_force.report_names;
}

std::size_t Posting::workloads() const {
    return static_cast<std::size_t>(
        std::clamp(SettingsReader(orders).get_number("workloads.count", 0), 0.0, 1e4));
}

Posting Posting::read_file(const std::string& path) {
    std::ifstream file(path);
    if (!file) throw std::runtime_error("cannot read the configuration " + path);
    return read({std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()});
}

}  // namespace gannethold::dispatcher
