// What a proxy tells operators about its decisions (gannethold-explain, docs/operators-system.md).
#pragma once

#include <string>

#include "json/json.hpp"
#include "cluster/proxy_server/proxy_server.hpp"

namespace gannethold::cluster {

/// what: requests, splits or losses; empty: all of them. The keys are the operators'.
json::Value explain_proxy(const ProxyServer& server, const std::string& what, Micros now);

}  // namespace gannethold::cluster
