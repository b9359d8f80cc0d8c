// The requests of operators' programs at the admin address and their responses. The platform's names for them
// end here. No I/O.
#pragma once

#include <string>
#include <variant>

#include "http/reader.hpp"
#include "metrics/counters.hpp"

namespace gannethold::admin {

enum class AdminRequest { get_readiness, get_metrics, take_out_of_service, return_to_service };

struct AdminResponse {
    int status = 200;
    std::string body;
    std::string content_type = "text/plain; charset=utf-8";
};

// The request that a head makes, or the response to one that is none: 404 for an unknown path, 405 for
// another method.
std::variant<AdminRequest, AdminResponse> parse_request(const http::Head& head);

// In the text format of Prometheus, one metric a line: its name, the workload as label where it has one, its
// value.
std::string format_metrics(const metrics::Counters& counters, const metrics::Gauges& gauges);

}  // namespace gannethold::admin
