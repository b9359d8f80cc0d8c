#include "membership/endpoint_list.hpp"

namespace gannethold::membership {
namespace {

std::optional<RunnerState> parse_state(const std::string* text) {
    if (!text) return std::nullopt;
    if (*text == "SERVING") return RunnerState::ready;
    if (*text == "DRAINING") return RunnerState::draining;
    if (*text == "DELETED") return RunnerState::gone;
    return std::nullopt;
}

std::string string_or_empty(const json::Value& object, std::string_view name) {
    const std::string* const text = object.find_string(name);
    return text ? *text : "";
}

double value_or_min(double value, double min, double max) {
    return value >= min && value <= max ? value : min;
}

const char* state_name(RunnerState state) {
    switch (state) {
        case RunnerState::ready:
            return "SERVING";
        case RunnerState::draining:
            return "DRAINING";
        case RunnerState::gone:
            return "DELETED";
    }
    return "DELETED";
}

}  // namespace

std::string format_endpoint_list(const EndpointList& endpoints) {
    const auto to_number = [](auto number) { return json::Value(json::Number{std::to_string(number)}); };
    json::Array servers;
    for (const Endpoint& endpoint : endpoints.entries) {
        json::Object server;
        server["id"] = json::Value(endpoint.id),
        server["addr"] = json::Value(endpoint.address ? endpoint.address->text : "");
        server["zone"] = json::Value(endpoint.zone), server["kind"] = json::Value(endpoint.kind),
        server["cell"] = to_number(endpoint.group);
        server["state"] = json::Value(std::string(state_name(endpoint.state.value_or(RunnerState::gone))));
        server["weight"] = to_number(endpoint.share), server["started_ms"] = to_number(endpoint.started_ms);
        servers.push_back(json::Value(std::move(server)));
    }
    json::Object all;
    all["version"] = to_number(endpoints.version), all["full"] = json::Value(endpoints.full);
    all["servers"] = json::Value(std::move(servers));
    return json::serialize(json::Value(std::move(all)));
}

std::optional<EndpointList> parse_endpoint_list(const json::Value& value) {
    EndpointList endpoints;
    const json::Value* const servers = value.find("servers");
    const json::Array* const list = servers ? servers->get<json::Array>() : nullptr;
    const json::Value* const full = value.find("full");
    const auto version = value.find_number("version");
    if (!list || !version || *version < 0 || *version > 4e9) return std::nullopt;
    endpoints.version = static_cast<std::uint32_t>(*version);
    endpoints.full = full && full->get<bool>() && *full->get<bool>();
    for (const json::Value& one : *list) {
        Endpoint endpoint;
        endpoint.id = string_or_empty(one, "id");
        // An entry without an id cannot be reported as skipped, so the whole list is rejected.
        if (endpoint.id.empty()) return std::nullopt;
        endpoint.address = net::Address::parse(string_or_empty(one, "addr"));
        endpoint.zone = string_or_empty(one, "zone");
        endpoint.kind = string_or_empty(one, "kind");
        endpoint.group =
            static_cast<std::uint32_t>(value_or_min(one.find_number("cell").value_or(0), 0, 4e9));
        endpoint.state = parse_state(one.find_string("state"));
        endpoint.share = value_or_min(one.find_number("weight").value_or(1), 0, 1e6);
        endpoint.started_ms =
            static_cast<std::int64_t>(value_or_min(one.find_number("started_ms").value_or(0), 0, 9e15));
        endpoints.entries.push_back(std::move(endpoint));
    }
    return endpoints;
}

}  // namespace gannethold::membership
