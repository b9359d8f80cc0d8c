// An operator's configuration: read, checked and looked up. Immutable once read.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cluster/base/error.hpp"
#include "types.hpp"

namespace gannethold::cluster {

struct Service {
    std::string name;
    std::int64_t memory_mb = 128;      // of one runner
    Micros boot = 1'000'000;           // mean time of a start
    std::uint32_t most = 1;            // requests that one runner may hold at once
    std::uint32_t connections = 1024;  // that a runner takes from all callers together
    Micros tightest_aim = 0;           // of its routes; 0: it has none

    // An aim that can not wait for a start wants a runner before anyone has asked.
    bool warm() const { return tightest_aim > 0 && 10 * tightest_aim < 13 * boot; }
};

struct Route {
    std::string name, host, prefix;
    bool idempotent = false;  // may run more than once
    Micros timeout = 0, latency_target = 0;
    std::uint8_t priority = 0;  // 0 is the highest
    std::uint32_t attempts = 1;
    struct Share {
        std::string service;
        double weight = 1;
    };
    std::vector<Share> shares;  // never empty; weights add up to over 0
    std::uint16_t request_class =
        0;  // routes that agree in service's kind, aim, time-out and attempts have one request class
};

struct Limits {
    std::size_t header_bytes = 16384, body_bytes = 262144;
    Micros header_timeout = 3'000'000, idle_timeout = 15'000'000;
};

class Configuration {
  public:
    // Errors: configuration_malformed (not JSON, or cut short), configuration_invalid (the detail says what
    // and where).
    static leaf::result<std::shared_ptr<const Configuration>> read(std::string_view json);
    // Only the version, of anything that is JSON with one.
    static leaf::result<std::uint64_t> version_of(std::string_view json);

    std::uint64_t version() const { return version_; }
    const std::vector<Service>& services() const { return services_; }
    const std::vector<Route>& routes() const { return routes_; }
    const Limits& limits() const { return limits_; }
    const Service* service(std::string_view name) const;
    // Of the routes of that host, the one whose prefix begins the path and is longest; nullptr: none. The
    // host as the client wrote it: case and port do not matter.
    const Route* route(std::string_view host, std::string_view path) const;

  private:
    std::uint64_t version_ = 0;
    std::vector<Service> services_;
    std::vector<Route> routes_;
    Limits limits_;
    std::unordered_map<std::string, std::size_t> service_at_;
    std::unordered_map<std::string, std::size_t> route_at_;  // by host, a line end, prefix
};

}  // namespace gannethold::cluster
