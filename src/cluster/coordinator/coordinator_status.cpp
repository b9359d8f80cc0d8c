#include "cluster/coordinator/coordinator_status.hpp"

#include <utility>

#include "cluster/status/json_values.hpp"

namespace gannethold::cluster {
namespace {

json::Value json_number(Number number) { return json_value(static_cast<double>(number)); }

json::Value json_proxy(const SlotTable& slot_table, Session session) {
    const std::string* const name = slot_table.proxy_name(session);
    return json_value(name ? *name : std::string());
}

json::Array action_rows(Micros now, const BoundedHistory<PlatformAction>& actions) {
    json::Array rows;
    for (const PlatformAction& action : actions.entries()) {
        const bool is_start = action.kind == PlatformAction::Kind::start;
        rows.emplace_back(json::Object{{"ago_ms", json_ms(now - action.at)},
                                       {"deed", json_value(std::string(is_start ? "start" : "stop"))},
                                       {"service", json_value(action.service)},
                                       {"worker", json_value(action.worker)},
                                       {"runner", json_value(action.runner)},
                                       {"why", json_value(std::string(action.reason))},
                                       {"answer", json_value(action.status)}});
    }
    return rows;
}

json::Value function_row(const Function& function) {
    return json::Value(json::Object{
        {"function", json_value(function.name)},
        {"mode", json_value(std::string(function.unrestricted ? "unrestricted" : "coordinated"))},
        {"runners", json_number(function.runners.size())},
        {"slots_out", json_value(function.outstanding())},
        {"waiting", json_number(function.waiting.size())},
        {"overtaken", json_number(function.inversions)},
        {"rate_per_s", json_value(function.zones.requests_per_s())},
        {"load", json_value(function.load.slow())}});
}

json::Array function_rows(const SlotTable& slot_table) {
    json::Array rows;
    for (const auto& [name, function] : slot_table.functions())
        if (function->active || !function->runners.empty()) rows.push_back(function_row(*function));
    return rows;
}

json::Array waiting_rows(Micros now, const SlotTable& slot_table) {
    json::Array rows;
    for (const auto& [name, function] : slot_table.functions())
        for (const auto& [position, waiting] : function->waiting.all())
            rows.emplace_back(json::Object{{"function", json_value(name)},
                                           {"front", json_proxy(slot_table, waiting.session)},
                                           {"priority", json_value(waiting.request.priority)},
                                           {"waited_ms", json_ms(now - waiting.since)},
                                           {"aim_left_ms", json_ms(waiting.target_at - now)},
                                           {"deadline_left_ms", json_ms(waiting.deadline_at - now)}});
    return rows;
}

json::Array inversion_rows(Micros now, const SlotTable& slot_table) {
    json::Array rows;
    for (const PriorityInversion& inversion : slot_table.priority_inversions().entries())
        rows.emplace_back(json::Object{{"ago_ms", json_ms(now - inversion.at)},
                                       {"function", json_value(inversion.service)},
                                       {"went", json_proxy(slot_table, inversion.session)},
                                       {"priority", json_value(inversion.priority)},
                                       {"aim_left_ms", json_ms(inversion.time_left)},
                                       {"before", json_proxy(slot_table, inversion.passed_session)},
                                       {"its_priority", json_value(inversion.passed_priority)},
                                       {"its_aim_left_ms", json_ms(inversion.passed_time_left)},
                                       {"why", json_value(std::string(inversion.reason))}});
    return rows;
}

json::Array proxy_rows(const std::map<Session, RegisteredProxy>& proxies) {
    json::Array rows;
    for (const auto& [session, proxy] : proxies)
        rows.emplace_back(json::Object{{"front", json_value(proxy.name)},
                                       {"version_held", json_number(proxy.configuration.acknowledged)},
                                       {"version_sent", json_number(proxy.configuration.in_flight)}});
    return rows;
}

}  // namespace

void add_coordinator_status(Micros now, const std::string& part, const CoordinatorView& view,
                            json::Object& status) {
    const auto is_requested = [&](const char* name) { return part.empty() || part == name; };
    if (is_requested("starts")) status["starts"] = json::Value(action_rows(now, view.recent_actions));
    if (is_requested("functions")) status["functions"] = json::Value(function_rows(view.slot_table));
    if (is_requested("waiting")) status["waiting"] = json::Value(waiting_rows(now, view.slot_table));
    if (is_requested("overtakings"))
        status["overtakings"] = json::Value(inversion_rows(now, view.slot_table));
    if (is_requested("fronts")) status["fronts"] = json::Value(proxy_rows(view.proxies));
}

}  // namespace gannethold::cluster
