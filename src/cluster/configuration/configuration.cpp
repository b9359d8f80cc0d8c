#include "cluster/configuration/configuration.hpp"

#include <simdjson.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>

namespace gannethold::cluster {
namespace {

using simdjson::dom::element;
using simdjson::dom::object;

leaf::error_id wrong(const std::string& where, const std::string& what) {
    return make_error(ErrorCode::configuration_invalid, where + ": " + what);
}

leaf::result<std::string> word(const object& from, const char* key, const std::string& where) {
    std::string_view text;
    if (from[key].get(text) || text.empty()) return wrong(where, std::string(key) + " is no text");
    return std::string(text);
}

// What is missing or null keeps the value that stands there.
leaf::result<void> number(const object& from, const char* key, const std::string& where, double least,
                          double& value) {
    element found;
    if (from[key].get(found) || found.is_null()) return {};
    double read = 0;
    if (found.get(read) || !(read >= least) || read > 1e15)
        return wrong(where, std::string(key) + " is no number from " +
                                std::to_string(static_cast<long>(least)) + " on");
    value = read;
    return {};
}

leaf::result<Service> service_from(const object& from) {
    Service s;
    BOOST_LEAF_ASSIGN(s.name, word(from, "name", "a service"));
    const std::string where = "service " + s.name;
    double memory = 128;
    double boot = 1000;
    double most = 1;
    double connections = 1024;
    BOOST_LEAF_CHECK(number(from, "memory_mb", where, 0, memory));
    BOOST_LEAF_CHECK(number(from, "boot_duration_ms", where, 0, boot));
    BOOST_LEAF_CHECK(number(from, "max_concurrency", where, 1, most));
    BOOST_LEAF_CHECK(number(from, "connection_limit", where, 0, connections));
    s.memory_mb = static_cast<std::int64_t>(memory);
    s.boot = static_cast<Micros>(boot * 1e3);
    s.most = static_cast<std::uint32_t>(std::min(most, 1e6));
    s.connections = static_cast<std::uint32_t>(std::min(connections, 1e6));
    return s;
}

leaf::result<std::vector<Route::Share>> shares_from(const object& from, const std::string& where) {
    std::vector<Route::Share> shares;
    element many;
    // A route names one service, or splits over several with weights.
    for (const char* key : {"services", "weights", "split"}) {
        if (from[key].get(many)) continue;
        simdjson::dom::array list;
        object table;
        if (!many.get(list)) {
            for (const element one : list) {
                object o;
                if (one.get(o)) return wrong(where, std::string(key) + " holds what is no object");
                Route::Share share;
                BOOST_LEAF_ASSIGN(share.service, word(o, o["service"].error() ? "name" : "service", where));
                BOOST_LEAF_CHECK(number(o, "weight", where, 0, share.weight));
                shares.push_back(std::move(share));
            }
        } else if (!many.get(table)) {
            for (const auto& [name, weight] : table) {
                double read = 0;
                if (weight.get(read) || !(read >= 0)) return wrong(where, "a weight is no number from 0 on");
                shares.push_back({std::string(name), read});
            }
        }
    }
    if (shares.empty()) {
        Route::Share one;
        BOOST_LEAF_ASSIGN(one.service, word(from, "service", where));
        shares.push_back(std::move(one));
    }
    double sum = 0;
    for (const auto& share : shares) sum += share.weight;
    if (!(sum > 0)) return wrong(where, "its weights add up to 0");
    return shares;
}

leaf::result<Route> route_from(const object& from) {
    Route r;
    BOOST_LEAF_ASSIGN(r.name, word(from, "name", "a route"));
    const std::string where = "route " + r.name;
    BOOST_LEAF_ASSIGN(r.host, word(from, "host", where));
    BOOST_LEAF_ASSIGN(r.prefix, word(from, "path_prefix", where));
    if (r.prefix.front() != '/' || r.prefix.back() != '/')
        return wrong(where, "path_prefix does not begin and end with a slash");
    BOOST_LEAF_AUTO(kind, word(from, "route_kind", where));
    if (kind != "idempotent" && kind != "non_idempotent")
        return wrong(where, "route_kind is not known: " + kind);
    r.idempotent = kind == "idempotent";
    double timeout = 30'000;
    double latency_target = 1'000;
    double priority = 0;
    double attempts = 1;
    BOOST_LEAF_CHECK(number(from, "timeout_ms", where, 0, timeout));
    BOOST_LEAF_CHECK(number(from, "target_latency_ms", where, 0, latency_target));
    BOOST_LEAF_CHECK(number(from, "priority", where, 0, priority));
    BOOST_LEAF_CHECK(number(from, "max_attempts", where, 0, attempts));
    if (timeout <= 0) return wrong(where, "timeout_ms is 0");
    r.timeout = static_cast<Micros>(timeout * 1e3);
    r.latency_target = static_cast<Micros>(latency_target * 1e3);
    r.priority = static_cast<std::uint8_t>(std::min(priority, 255.0));
    r.attempts = static_cast<std::uint32_t>(std::clamp(attempts, 1.0, 16.0));
    BOOST_LEAF_ASSIGN(r.shares, shares_from(from, where));
    return r;
}

std::string host_of(std::string_view text) {
    std::string host(text.substr(0, text.starts_with('[') ? text.find(']') : text.find(':')));
    for (char& c : host)
        if (c >= 'A' && c <= 'Z') c = static_cast<char>(c + 32);
    return host;
}

std::string place(std::string_view host, std::string_view prefix) {
    std::string key = host_of(host);
    key += '\n';
    key.append(prefix);
    return key;
}

}  // namespace

leaf::result<std::uint64_t> Configuration::version_of(std::string_view json) {
    simdjson::dom::parser parser;
    object top;
    if (parser.parse(json.data(), json.size()).get(top))
        return make_error(ErrorCode::configuration_malformed, "not whole, or no JSON object");
    std::uint64_t version = 0;
    if (top["version"].get(version)) return wrong("configuration", "version is no whole number from 0 on");
    return version;
}

leaf::result<std::shared_ptr<const Configuration>> Configuration::read(std::string_view json) {
    simdjson::dom::parser parser;
    object top;
    if (parser.parse(json.data(), json.size()).get(top))
        return make_error(ErrorCode::configuration_malformed, "not whole, or no JSON object");
    auto made = std::make_shared<Configuration>();
    if (top["version"].get(made->version_) || made->version_ == 0)
        return wrong("configuration", "version is no whole number from 1 on");
    simdjson::dom::array services;
    simdjson::dom::array routes;
    if (top["services"].get(services)) return wrong("configuration", "services is no list");
    if (top["routes"].get(routes)) return wrong("configuration", "routes is no list");
    for (const element one : services) {
        object o;
        if (one.get(o)) return wrong("services", "an entry is no object");
        BOOST_LEAF_AUTO(service, service_from(o));
        if (!made->service_at_.emplace(service.name, made->services_.size()).second)
            return wrong("service " + service.name, "it stands there twice");
        made->services_.push_back(std::move(service));
    }
    std::map<std::tuple<Micros, Micros, bool, std::int64_t, std::uint32_t, std::uint8_t>, std::uint16_t>
        shapes;
    for (const element one : routes) {
        object o;
        if (one.get(o)) return wrong("routes", "an entry is no object");
        BOOST_LEAF_AUTO(route, route_from(o));
        for (const auto& share : route.shares) {
            const auto at = made->service_at_.find(share.service);
            if (at == made->service_at_.end())
                return wrong("route " + route.name, "it names a service that is not there: " + share.service);
            Service& service = made->services_[at->second];
            if (share.weight > 0 &&
                (service.tightest_aim == 0 || route.latency_target < service.tightest_aim))
                service.tightest_aim = route.latency_target;
        }
        const Service& first = made->services_[made->service_at_[route.shares.front().service]];
        route.request_class = shapes
                                  .try_emplace({route.latency_target, route.timeout, route.idempotent,
                                                first.memory_mb, first.most, route.priority},
                                               static_cast<std::uint16_t>(shapes.size() + 1))
                                  .first->second;
        const auto [other, fresh] =
            made->route_at_.emplace(place(route.host, route.prefix), made->routes_.size());
        if (!fresh)
            return wrong("route " + route.name,
                         "it has the host and prefix of route " + made->routes_[other->second].name);
        made->routes_.push_back(std::move(route));
    }
    if (object limits; !top["limits"].get(limits)) {
        Limits& l = made->limits_;
        double header = static_cast<double>(l.header_bytes);
        double body = static_cast<double>(l.body_bytes);
        double header_ms = static_cast<double>(l.header_timeout) / 1e3;
        double idle_ms = static_cast<double>(l.idle_timeout) / 1e3;
        BOOST_LEAF_CHECK(number(limits, "max_header_bytes", "limits", 1, header));
        BOOST_LEAF_CHECK(number(limits, "max_body_bytes", "limits", 0, body));
        BOOST_LEAF_CHECK(number(limits, "header_timeout_ms", "limits", 1, header_ms));
        BOOST_LEAF_CHECK(number(limits, "idle_timeout_ms", "limits", 1, idle_ms));
        l = {static_cast<std::size_t>(header), static_cast<std::size_t>(body),
             static_cast<Micros>(header_ms * 1e3), static_cast<Micros>(idle_ms * 1e3)};
    }
    return made;
}

const Service* Configuration::service(std::string_view name) const {
    const auto at = service_at_.find(std::string(name));
    return at == service_at_.end() ? nullptr : &services_[at->second];
}

const Route* Configuration::route(std::string_view host, std::string_view path) const {
    // Every prefix ends with a slash: the path is shortened from slash to slash.
    path = path.substr(0, path.find('?'));
    std::string key = place(host, path);
    const std::size_t root = key.find('\n') + 1;
    for (;;) {
        const auto slash = key.rfind('/');
        if (slash == std::string::npos || slash < root) return nullptr;
        key.resize(slash + 1);
        const auto at = route_at_.find(key);
        if (at != route_at_.end()) return &routes_[at->second];
        key.resize(slash);
    }
}

}  // namespace gannethold::cluster
