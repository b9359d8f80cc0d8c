#include <simdjson.h>

#include <algorithm>
#include <compare>
#include <map>
#include <utility>

#include "cluster/configuration/configuration.hpp"
#include "cluster/configuration/json_fields.hpp"

namespace gannethold::cluster {
namespace {

using simdjson::dom::array;
using simdjson::dom::element;
using simdjson::dom::object;

constexpr double kMicrosPerMs = 1e3;
constexpr double kMaxConcurrency = 1e6;
constexpr double kMaxConnections = 1e6;
constexpr double kMaxPriority = 255;
constexpr double kMinAttempts = 1;
constexpr double kMaxAttempts = 16;

Micros from_ms(double milliseconds) { return static_cast<Micros>(milliseconds * kMicrosPerMs); }
double to_ms(Micros time) { return static_cast<double>(time) / kMicrosPerMs; }

leaf::result<Service> parse_service(const object& from) {
    Service service;
    BOOST_LEAF_ASSIGN(service.name, required_text(from, "name", "a service"));
    const std::string where = "service " + service.name;
    BOOST_LEAF_AUTO(memory_mb, number_or(128, from, "memory_mb", where, 0));
    BOOST_LEAF_AUTO(boot_ms, number_or(1000, from, "boot_duration_ms", where, 0));
    BOOST_LEAF_AUTO(max_concurrency, number_or(1, from, "max_concurrency", where, 1));
    BOOST_LEAF_AUTO(connection_limit, number_or(1024, from, "connection_limit", where, 0));
    service.memory_mb = static_cast<std::int64_t>(memory_mb);
    service.boot_duration = from_ms(boot_ms);
    service.max_concurrency = static_cast<std::uint32_t>(std::min(max_concurrency, kMaxConcurrency));
    service.connection_limit = static_cast<std::uint32_t>(std::min(connection_limit, kMaxConnections));
    return service;
}

// Parses [{"service": NAME, "weight": NUMBER}, ...]; "name" is accepted instead of "service".
leaf::result<std::vector<WeightedService>> parse_weighted_list(const array& list, const char* field,
                                                               const std::string& where) {
    std::vector<WeightedService> services;
    for (const element entry : list) {
        object from;
        if (entry.get(from))
            return invalid(where, std::string(field) + " has an entry that is not an object");
        WeightedService service;
        const char* const name_field = from["service"].error() ? "name" : "service";
        BOOST_LEAF_ASSIGN(service.service, required_text(from, name_field, where));
        BOOST_LEAF_ASSIGN(service.weight, number_or(service.weight, from, "weight", where, 0));
        services.push_back(std::move(service));
    }
    return services;
}

// Parses {NAME: NUMBER, ...}.
leaf::result<std::vector<WeightedService>> parse_weight_table(const object& table, const std::string& where) {
    std::vector<WeightedService> services;
    for (const auto& [name, element] : table) {
        double weight = 0;
        const bool is_number = !element.get(weight);
        if (!is_number || !(weight >= 0)) return invalid(where, "a weight is not a number of at least 0");
        services.push_back({std::string(name), weight});
    }
    return services;
}

leaf::result<std::vector<WeightedService>> parse_weights(const element& from, const char* field,
                                                         const std::string& where) {
    if (array list; !from.get(list)) return parse_weighted_list(list, field, where);
    if (object table; !from.get(table)) return parse_weight_table(table, where);
    return std::vector<WeightedService>();
}

// Parses a route's services: a single one, or several with weights in one of the fields listed here.
leaf::result<std::vector<WeightedService>> parse_services(const object& route, const std::string& where) {
    std::vector<WeightedService> services;
    for (const char* const field : {"services", "weights", "split"}) {
        element found;
        if (route[field].get(found)) continue;
        BOOST_LEAF_AUTO(weighted, parse_weights(found, field, where));
        services.insert(services.end(), weighted.begin(), weighted.end());
    }
    if (services.empty()) {
        WeightedService single_service;
        BOOST_LEAF_ASSIGN(single_service.service, required_text(route, "service", where));
        services.push_back(std::move(single_service));
    }
    double sum = 0;
    for (const WeightedService& service : services) sum += service.weight;
    if (!(sum > 0)) return invalid(where, "the sum of the weights is 0");
    return services;
}

// Parses which requests match the route, and whether they are idempotent.
leaf::result<void> parse_match(const object& from, const std::string& where, Route& route) {
    BOOST_LEAF_ASSIGN(route.host, required_text(from, "host", where));
    BOOST_LEAF_ASSIGN(route.path_prefix, required_text(from, "path_prefix", where));
    if (route.path_prefix.front() != '/' || route.path_prefix.back() != '/')
        return invalid(where, "path_prefix does not begin and end with a slash");
    BOOST_LEAF_AUTO(kind, required_text(from, "route_kind", where));
    if (kind != "idempotent" && kind != "non_idempotent")
        return invalid(where, "unknown route_kind: " + kind);
    route.is_idempotent = kind == "idempotent";
    return {};
}

leaf::result<Route> parse_route(const object& from) {
    Route route;
    BOOST_LEAF_ASSIGN(route.name, required_text(from, "name", "a route"));
    const std::string where = "route " + route.name;
    BOOST_LEAF_CHECK(parse_match(from, where, route));
    BOOST_LEAF_AUTO(timeout_ms, number_or(30'000, from, "timeout_ms", where, 0));
    BOOST_LEAF_AUTO(latency_target_ms, number_or(1'000, from, "target_latency_ms", where, 0));
    BOOST_LEAF_AUTO(priority, number_or(0, from, "priority", where, 0));
    BOOST_LEAF_AUTO(max_attempts, number_or(1, from, "max_attempts", where, 0));
    if (timeout_ms <= 0) return invalid(where, "timeout_ms is 0");
    route.timeout = from_ms(timeout_ms);
    route.latency_target = from_ms(latency_target_ms);
    route.priority = static_cast<std::uint8_t>(std::min(priority, kMaxPriority));
    route.max_attempts = static_cast<std::uint32_t>(std::clamp(max_attempts, kMinAttempts, kMaxAttempts));
    BOOST_LEAF_ASSIGN(route.services, parse_services(from, where));
    return route;
}

leaf::result<Limits> parse_limits(const object& from) {
    const Limits defaults;
    BOOST_LEAF_AUTO(header_bytes, number_or(static_cast<double>(defaults.max_header_bytes), from,
                                            "max_header_bytes", "limits", 1));
    BOOST_LEAF_AUTO(body_bytes, number_or(static_cast<double>(defaults.max_body_bytes), from,
                                          "max_body_bytes", "limits", 0));
    BOOST_LEAF_AUTO(header_ms,
                    number_or(to_ms(defaults.header_timeout), from, "header_timeout_ms", "limits", 1));
    BOOST_LEAF_AUTO(idle_ms, number_or(to_ms(defaults.idle_timeout), from, "idle_timeout_ms", "limits", 1));
    return Limits{static_cast<std::size_t>(header_bytes), static_cast<std::size_t>(body_bytes),
                  from_ms(header_ms), from_ms(idle_ms)};
}

// Assigns request class numbers in the order of first use (Route::request_class).
class RequestClasses {
  public:
    std::uint16_t number_of(const Route& route, const Service& service) {
        const Traits traits{route.latency_target, route.timeout,           route.is_idempotent,
                            service.memory_mb,    service.max_concurrency, route.priority};
        const auto next = static_cast<std::uint16_t>(numbers_.size() + 1);
        return numbers_.try_emplace(traits, next).first->second;
    }

  private:
    struct Traits {
        Micros latency_target = 0;
        Micros timeout = 0;
        bool is_idempotent = false;
        std::int64_t memory_mb = 0;
        std::uint32_t max_concurrency = 0;
        std::uint8_t priority = 0;
        // clang-tidy 14 mistakes the defaulted comparison for a null pointer.
        friend auto operator<=>(const Traits&, const Traits&) = default;  // NOLINT(modernize-use-nullptr)
    };
    std::map<Traits, std::uint16_t> numbers_;
};

leaf::result<object> parse_object(simdjson::dom::parser& parser, std::string_view json) {
    object top;
    if (parser.parse(json.data(), json.size()).get(top))
        return make_error(ErrorCode::configuration_malformed, "truncated, or not a JSON object");
    return top;
}

}  // namespace

// Builds a configuration from its JSON object and stops at the first error.
class ConfigurationParser {
  public:
    leaf::result<std::shared_ptr<const Configuration>> parse(const object& top) {
        if (top["version"].get(configuration_->version_) || configuration_->version_ == 0)
            return invalid("configuration", "version is not an integer of at least 1");
        array services;
        array routes;
        if (top["services"].get(services)) return invalid("configuration", "services is not a list");
        if (top["routes"].get(routes)) return invalid("configuration", "routes is not a list");
        BOOST_LEAF_CHECK(add_services(services));
        BOOST_LEAF_CHECK(add_routes(routes));
        if (object limits; !top["limits"].get(limits)) {
            BOOST_LEAF_ASSIGN(configuration_->limits_, parse_limits(limits));
        }
        return std::shared_ptr<const Configuration>(std::move(configuration_));
    }

  private:
    leaf::result<void> add_services(const array& list) {
        auto& services = configuration_->services_;
        for (const element entry : list) {
            object from;
            if (entry.get(from)) return invalid("services", "an entry is not an object");
            BOOST_LEAF_AUTO(service, parse_service(from));
            if (!configuration_->service_by_name_.emplace(service.name, services.size()).second)
                return invalid("service " + service.name, "its name is used twice");
            services.push_back(std::move(service));
        }
        return {};
    }

    leaf::result<void> add_routes(const array& list) {
        for (const element entry : list) {
            object from;
            if (entry.get(from)) return invalid("routes", "an entry is not an object");
            BOOST_LEAF_AUTO(route, parse_route(from));
            BOOST_LEAF_CHECK(add_route(std::move(route)));
        }
        return {};
    }

    leaf::result<void> add_route(Route route) {
        auto& routes = configuration_->routes_;
        BOOST_LEAF_CHECK(resolve_services(route));
        route.request_class = request_classes_.number_of(route, *find(route.services.front().service));
        const std::string key = Configuration::route_key(route.host, route.path_prefix);
        const auto [other, is_new] = configuration_->route_by_key_.emplace(key, routes.size());
        if (!is_new)
            return invalid("route " + route.name,
                           "same host and path_prefix as route " + routes[other->second].name);
        routes.push_back(std::move(route));
        return {};
    }

    // Checks that the services exist, and updates their min_latency_target.
    leaf::result<void> resolve_services(const Route& route) {
        for (const WeightedService& weighted : route.services) {
            Service* const service = find(weighted.service);
            if (!service) return invalid("route " + route.name, "unknown service: " + weighted.service);
            const bool is_lower =
                service->min_latency_target == 0 || route.latency_target < service->min_latency_target;
            if (weighted.weight > 0 && is_lower) service->min_latency_target = route.latency_target;
        }
        return {};
    }

    Service* find(const std::string& name) {
        const auto found = configuration_->service_by_name_.find(name);
        if (found == configuration_->service_by_name_.end()) return nullptr;
        return &configuration_->services_[found->second];
    }

    std::shared_ptr<Configuration> configuration_ = std::make_shared<Configuration>();
    RequestClasses request_classes_;
};

leaf::result<std::uint64_t> Configuration::parse_version(std::string_view json) {
    simdjson::dom::parser parser;
    BOOST_LEAF_AUTO(top, parse_object(parser, json));
    std::uint64_t version = 0;
    if (top["version"].get(version)) return invalid("configuration", "version is not a non-negative integer");
    return version;
}

leaf::result<std::shared_ptr<const Configuration>> Configuration::parse(std::string_view json) {
    simdjson::dom::parser parser;
    BOOST_LEAF_AUTO(top, parse_object(parser, json));
    return ConfigurationParser().parse(top);
}

}  // namespace gannethold::cluster
