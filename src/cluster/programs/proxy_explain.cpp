#include "cluster/programs/proxy_explain.hpp"

#include <utility>

#include "cluster/programs/admin.hpp"

namespace gannethold::cluster {
namespace {

json::Value explain_requests(const RequestStatistics& statistics, Micros now) {
    json::List requests;
    for (const RoutingDecision& decision : statistics.decisions().kept())
        requests.emplace_back(json::Object{{"ago_ms", told_ms(now - decision.at)},
                                           {"request", told(static_cast<double>(decision.request))},
                                           {"service", told(decision.service)},
                                           {"runner", told(decision.runner)},
                                           {"waited_ms", told_ms(decision.waited)},
                                           {"why", told(std::string(decision.reason))}});
    return json::Value(std::move(requests));
}

json::Value explain_splits(const RequestHandler& handler) {
    json::List splits;
    for (const RunnerShare& share : handler.shares())
        splits.emplace_back(
            json::Object{{"service", told(share.service)},
                         {"runner", told(share.runner)},
                         {"fraction", told(share.fraction)},
                         {"latency_ms", told(share.latency_seconds * 1e3)},
                         {"out", told(share.in_flight)},
                         {"mode", told(std::string(share.unrestricted ? "unrestricted" : "coordinated"))}});
    return json::Value(std::move(splits));
}

json::Value explain_losses(const RequestStatistics& statistics) {
    json::List losses;
    for (std::size_t cause = 0; cause < ValueLoss::kCauses; ++cause)
        for (std::size_t outcome = 0; outcome < ValueLoss::kOutcomes; ++outcome) {
            const auto of_cause = static_cast<ValueLoss::Cause>(cause);
            const auto of_outcome = static_cast<ValueLoss::Outcome>(outcome);
            const std::uint64_t count = statistics.count(of_cause, of_outcome);
            if (count == 0) continue;
            losses.emplace_back(json::Object{{"cause", told(std::string(name_of(of_cause)))},
                                             {"how", told(std::string(name_of(of_outcome)))},
                                             {"count", told(static_cast<double>(count))}});
        }
    return json::Value(std::move(losses));
}

}  // namespace

json::Value explain_proxy(const ProxyServer& server, const std::string& what, Micros now) {
    const RequestHandler& handler = server.handler();
    const auto is_wanted = [&](const char* part) { return what.empty() || what == part; };
    json::Object all{
        {"node", told(server.settings().node_name)},
        {"role", told(std::string("proxy"))},
        {"version", told(static_cast<double>(handler.version()))},
        {"coordinator", json::Value(handler.has_coordinator())},
        {"open", told(static_cast<double>(handler.pending_requests()))},
        {"malformed_lines", told(static_cast<double>(MessageConnection::malformed_connections()))}};
    if (is_wanted("losses")) all["losses"] = explain_losses(handler.statistics());
    if (is_wanted("requests")) all["requests"] = explain_requests(handler.statistics(), now);
    if (is_wanted("splits")) all["splits"] = explain_splits(handler);
    return json::Value(std::move(all));
}

}  // namespace gannethold::cluster
