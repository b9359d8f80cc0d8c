#include "configuration_template.hpp"

#include <algorithm>
#include <sstream>
#include <utility>

namespace gannethold::cluster::simulation {

const ServiceSpec* ConfigurationTemplate::find(const std::string& name) const {
    const auto spec = std::find_if(services.begin(), services.end(),
                                   [&](const ServiceSpec& candidate) { return candidate.name == name; });
    return spec == services.end() ? nullptr : &*spec;
}

std::string ConfigurationTemplate::body(Number version, const std::string& mark) const {
    std::ostringstream text;
    text << "{\"version\":" << version << ",\"routes\":[";
    const char* separator = "";
    for (const ServiceSpec& spec : services) {
        text << std::exchange(separator, ",") << "{\"name\":\"r-" << spec.name
             << "\",\"host\":\"h.example\",\"path_prefix\":\"/" << spec.name << "/\",\"route_kind\":\""
             << (spec.idempotent ? "idempotent" : "non_idempotent") << "\",\"timeout_ms\":" << spec.timeout_ms
             << ",\"target_latency_ms\":" << spec.latency_target_ms << ",\"priority\":" << spec.priority
             << ",\"service\":\"" << spec.service() << "\",\"max_attempts\":" << spec.max_attempts << "}";
    }
    text << "],\"services\":[";
    separator = "";
    for (const ServiceSpec& spec : services) {
        if (!spec.route_to.empty()) continue;
        text << std::exchange(separator, ",") << "{\"name\":\"" << spec.name
             << "\",\"connection_limit\":20,\"memory_mb\":" << spec.memory_mb
             << ",\"boot_duration_ms\":" << spec.boot_ms << ",\"max_concurrency\":" << spec.max_concurrency
             << "}";
    }
    // The name "ballast" is part of the recorded digests.
    text << "],\"mark\":\"" << mark << "\",\"ballast\":\"" << padding << "\"}";
    return text.str();
}

}  // namespace gannethold::cluster::simulation
