// Requests at the admin address and their responses. The paths and metric names of the platform are used only
// here. No I/O.
#pragma once

#include <string>
#include <variant>

#include "http/reader.hpp"
#include "metrics/counters.hpp"

namespace gannethold::admin {

// What a request asks for.
enum class AdminRequest { get_readiness, get_metrics, take_out_of_service, return_to_service };

// An HTTP response.
struct AdminResponse {
    int status = 200;
    std::string body;
    std::string content_type = "text/plain; charset=utf-8";
};

// Returns the request that the head makes, or the error response: 404 for an unknown path, 405 for another
// method.
std::variant<AdminRequest, AdminResponse> parse_request(const http::Head& head);

// Formats the metrics in the text format of Prometheus, one per line. Metrics of a workload have its name as
// label.
std::string format_metrics(const metrics::Counters& counters, const metrics::Gauges& gauges);

}  // namespace gannethold::admin
