// The operators' configuration: the services, and the routes that assign requests to them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cluster/base/error.hpp"
#include "types.hpp"

namespace gannethold::cluster {

// A function that runners execute.
struct Service {
    std::string name;
    std::int64_t memory_mb = 128;           // per runner
    Micros boot_duration = 1'000'000;       // mean time to start a runner
    std::uint32_t max_concurrency = 1;      // concurrent requests per runner
    std::uint32_t connection_limit = 1024;  // per runner, in total over all clients
    Micros min_latency_target = 0;          // lowest target of the routes to this service; 0: no route
};

// A service and the weight of its share of a route's requests.
struct WeightedService {
    std::string service;
    double weight = 1;
};

struct Route {
    std::string name;
    std::string host;
    std::string path_prefix;     // begins and ends with a slash
    bool is_idempotent = false;  // a request may be executed more than once
    Micros timeout = 0;
    Micros latency_target = 0;
    std::uint8_t priority = 0;  // 0 is the highest
    std::uint32_t max_attempts = 1;
    std::vector<WeightedService> services;  // at least one; the weights sum to more than 0
    // Requests of the same class are expected to have similar durations: their routes have the same latency
    // target, timeout, idempotence and priority, and their services the same memory and concurrency. Classes
    // are numbered from 1; a number may denote a different class in another configuration.
    std::uint16_t request_class = 0;
};

// Limits that a proxy applies to its clients.
struct Limits {
    std::size_t max_header_bytes = 16384;
    std::size_t max_body_bytes = 262144;
    Micros header_timeout = 3'000'000;
    Micros idle_timeout = 15'000'000;
};

// One version of the configuration. Immutable after parsing, so any thread may read it.
class Configuration {
  public:
    // Errors: configuration_malformed (truncated, or not a JSON object); configuration_invalid (the error
    // detail names the violated rule and the place in the configuration).
    static leaf::result<std::shared_ptr<const Configuration>> parse(std::string_view json);

    // Parses the version and ignores all other fields. Same errors as parse().
    static leaf::result<std::uint64_t> parse_version(std::string_view json);

    std::uint64_t version() const { return version_; }
    const std::vector<Service>& services() const { return services_; }
    const std::vector<Route>& routes() const { return routes_; }
    const Limits& limits() const { return limits_; }

    // Returns the service with the name, or nullptr. Valid as long as the configuration.
    const Service* find_service(std::string_view name) const;

    // Returns the host's route with the longest matching path prefix, or nullptr. Ignores the case and the
    // port of `host`, and the query of `path`. Valid as long as the configuration.
    const Route* find_route(std::string_view host, std::string_view path) const;

  private:
    friend class ConfigurationParser;

    // The key of a route in route_by_key_: the host in lower case and without port, a line feed, the path
    // prefix.
    static std::string route_key(std::string_view host, std::string_view prefix);

    std::uint64_t version_ = 0;
    std::vector<Service> services_;
    std::vector<Route> routes_;
    Limits limits_;
    std::unordered_map<std::string, std::size_t> service_by_name_;  // indexes into services_
    std::unordered_map<std::string, std::size_t> route_by_key_;     // indexes into routes_
};

}  // namespace gannethold::cluster
