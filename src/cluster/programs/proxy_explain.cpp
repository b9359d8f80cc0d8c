#include "cluster/programs/proxy_explain.hpp"

#include <utility>

#include "cluster/programs/explain_resource.hpp"

namespace gannethold::cluster {
namespace {

json::Value explain_requests(const RequestStatistics& statistics, Micros now) {
    json::Array requests;
    for (const RoutingDecision& decision : statistics.decisions().entries())
        requests.emplace_back(json::Object{{"ago_ms", json_ms(now - decision.at)},
                                           {"request", json_value(static_cast<double>(decision.request))},
                                           {"service", json_value(decision.service)},
                                           {"runner", json_value(decision.runner)},
                                           {"waited_ms", json_ms(decision.waited)},
                                           {"why", json_value(std::string(decision.reason))}});
    return json::Value(std::move(requests));
}

json::Value explain_splits(const RequestHandler& handler) {
    json::Array splits;
    for (const RunnerShare& share : handler.shares())
        splits.emplace_back(json::Object{
            {"service", json_value(share.service)},
            {"runner", json_value(share.runner)},
            {"fraction", json_value(share.fraction)},
            {"latency_ms", json_value(share.latency_seconds * 1e3)},
            {"out", json_value(share.in_flight)},
            {"mode", json_value(std::string(share.unrestricted ? "unrestricted" : "coordinated"))}});
    return json::Value(std::move(splits));
}

json::Value explain_losses(const RequestStatistics& statistics) {
    json::Array losses;
    for (std::size_t cause = 0; cause < ValueLoss::kCauseCount; ++cause)
        for (std::size_t outcome = 0; outcome < ValueLoss::kOutcomeCount; ++outcome) {
            const auto of_cause = static_cast<ValueLoss::Cause>(cause);
            const auto of_outcome = static_cast<ValueLoss::Outcome>(outcome);
            const std::uint64_t count = statistics.count(of_cause, of_outcome);
            if (count == 0) continue;
            losses.emplace_back(json::Object{{"cause", json_value(std::string(name_of(of_cause)))},
                                             {"how", json_value(std::string(name_of(of_outcome)))},
                                             {"count", json_value(static_cast<double>(count))}});
        }
    return json::Value(std::move(losses));
}

}  // namespace

json::Value explain_proxy(const ProxyServer& server, const std::string& part, Micros now) {
    const RequestHandler& handler = server.handler();
    const auto is_requested = [&](const char* name) { return part.empty() || part == name; };
    json::Object all{
        {"node", json_value(server.settings().node_name)},
        {"role", json_value(std::string("proxy"))},
        {"version", json_value(static_cast<double>(handler.version()))},
        {"coordinator", json::Value(handler.has_coordinator())},
        {"open", json_value(static_cast<double>(handler.pending_requests()))},
        {"malformed_lines", json_value(static_cast<double>(MessageConnection::malformed_connections()))}};
    if (is_requested("losses")) all["losses"] = explain_losses(handler.statistics());
    if (is_requested("requests")) all["requests"] = explain_requests(handler.statistics(), now);
    if (is_requested("splits")) all["splits"] = explain_splits(handler);
    return json::Value(std::move(all));
}

}  // namespace gannethold::cluster
