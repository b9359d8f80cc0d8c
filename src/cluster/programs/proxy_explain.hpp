// The state and recent decisions of a proxy, as shown to operators by gannethold-explain
// (docs/operators-system.md).
#pragma once

#include <string>

#include "json/json.hpp"
#include "cluster/proxy_server/proxy_server.hpp"

namespace gannethold::cluster {

/// Returns one part as JSON: requests, splits or losses; an empty `part` selects all of them. The keys are
/// part of the operators' interface.
json::Value explain_proxy(const ProxyServer& server, const std::string& part, Micros now);

}  // namespace gannethold::cluster
