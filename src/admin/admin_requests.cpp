#include "admin/admin_requests.hpp"

#include <array>
#include <cstdint>
#include <string_view>

namespace gannethold::admin {
namespace {

struct Route {
    std::string_view method;
    std::string_view path;
    AdminRequest request;
};
constexpr std::array<Route, 4> kRoutes{
    {{"GET", "/control/ready", AdminRequest::get_readiness},
     {"GET", "/control/counters", AdminRequest::get_metrics},
     {"POST", "/control/out-of-service", AdminRequest::take_out_of_service},
     {"POST", "/control/in-service", AdminRequest::return_to_service}}};
constexpr std::string_view kMetricPrefix = "app_";

// Quotes and escapes a label: an unescaped quote or newline would end it and invalidate all later metrics.
std::string quoted_label(std::string_view label) {
    std::string quoted = "\"";
    for (const char c : label) {
        if (c == '\\' || c == '"') quoted += '\\';
        if (c == '\n')
            quoted += "\\n";
        else
            quoted += c;
    }
    return quoted + "\"";
}

void append_value(std::string& out, std::uint64_t value) {
    out.append(" ").append(std::to_string(value)).append("\n");
}

void append_metric(std::string& out, std::string_view name, std::uint64_t value) {
    out.append(kMetricPrefix).append(name);
    append_value(out, value);
}

void append_metric_of_workload(std::string& out, std::string_view name, const std::string& workload,
                               std::uint64_t value) {
    out.append(kMetricPrefix).append(name);
    if (!workload.empty()) out.append("{service=").append(quoted_label(workload)).append("}");
    append_value(out, value);
}

}  // namespace

std::variant<AdminRequest, AdminResponse> parse_request(const http::Head& head) {
    bool is_known_path = false;
    for (const Route& route : kRoutes) {
        if (route.path != head.path()) continue;
        if (route.method == head.method) return route.request;
        is_known_path = true;
    }
    if (is_known_path) return AdminResponse{405, "not by this method\n"};
    return AdminResponse{404, "no such call\n"};
}

std::string format_metrics(const metrics::Counters& counters, const metrics::Gauges& gauges) {
    std::string out;
    for (const auto& [workload, counts] : counters.answers_by_workload()) {
        append_metric_of_workload(out, "succeeded_total", workload, counts.finished);
        append_metric_of_workload(out, "declined_total", workload, counts.rejected);
        append_metric_of_workload(out, "aborted_total", workload, counts.abandoned);
    }
    append_metric(out, "forwards_total", counters.assignments_written());
    append_metric(out, "outstanding", gauges.outstanding_tasks);
    append_metric(out, "discovered", gauges.listed_runners);
    append_metric(out, "ejected", gauges.ejected_runners);
    append_metric(out, "sighup_applied_total", counters.reloads_applied());
    append_metric(out, "sighup_rejected_total", counters.reloads_rejected());
    return out;
}

}  // namespace gannethold::admin
