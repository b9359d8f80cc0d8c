// The configurations that operators of a simulation put.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cluster/configuration/configuration.hpp"
#include "cluster/wire/messages.hpp"

namespace gannethold::cluster::simulation {

/// A service with a route of the same name, or a further route to another service.
struct ServiceSpec {
    std::string name;
    std::uint32_t max_concurrency = 1;
    int boot_ms = 900;
    int memory_mb = 128;
    int latency_target_ms = 1500;
    int timeout_ms = 4000;
    bool idempotent = true;
    int max_attempts = 2;
    std::string route_to;  // the service of a further route; empty: a service of its own
    int priority = 1;

    const std::string& service() const { return route_to.empty() ? name : route_to; }
};

struct ConfigurationTemplate {
    std::vector<ServiceSpec> services;
    std::string padding;  // in every body, to make it large

    /// nullptr if there is none of that name.
    const ServiceSpec* find(const std::string& name) const;
    /// The body of that version. Two bodies of one version differ by their marks.
    std::string body(Number version, const std::string& mark) const;
};

}  // namespace gannethold::cluster::simulation
