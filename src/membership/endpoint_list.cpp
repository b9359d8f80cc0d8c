#include "membership/endpoint_list.hpp"

namespace gannethold::membership {
namespace {

std::optional<RunnerState> state_of(const std::string* string_or_empty) {
    if (!string_or_empty) return std::nullopt;
    if (*string_or_empty == "SERVING") return RunnerState::ready;
    if (*string_or_empty == "DRAINING") return RunnerState::draining;
    if (*string_or_empty == "DELETED") return RunnerState::gone;
    return std::nullopt;
}

std::string string_or_empty(const json::Value& of, std::string_view name) {
    const std::string* const text = of.find_string(name);
    return text ? *text : "";
}

double value_or_min(double value, double least, double most) {
    return value >= least && value <= most ? value : least;
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

std::string format_endpoint_list(const EndpointList& listing) {
    const auto whole = [](auto n) { return json::Value(json::Number{std::to_string(n)}); };
    json::Array servers;
    for (const Endpoint& e : listing.entries) {
        json::Object o;
        o["id"] = json::Value(e.id), o["addr"] = json::Value(e.address ? e.address->text : "");
        o["zone"] = json::Value(e.zone), o["kind"] = json::Value(e.kind), o["cell"] = whole(e.group);
        o["state"] = json::Value(std::string(state_name(e.state.value_or(RunnerState::gone))));
        o["weight"] = whole(e.share), o["started_ms"] = whole(e.started_ms);
        servers.push_back(json::Value(std::move(o)));
    }
    json::Object all;
    all["version"] = whole(listing.version), all["full"] = json::Value(listing.full);
    all["servers"] = json::Value(std::move(servers));
    return json::serialize(json::Value(std::move(all)));
}

std::optional<EndpointList> parse_endpoint_list(const json::Value& value) {
    EndpointList listing;
    const json::Value* const servers = value.find("servers");
    const json::Array* const list = servers ? servers->get<json::Array>() : nullptr;
    const json::Value* const full = value.find("full");
    const auto version = value.find_number("version");
    if (!list || !version || *version < 0 || *version > 4e9) return std::nullopt;
    listing.version = static_cast<std::uint32_t>(*version);
    listing.full = full && full->get<bool>() && *full->get<bool>();
    for (const json::Value& one : *list) {
        Endpoint e;
        e.id = string_or_empty(one, "id");
        // Without a name nothing can be told of it, not even that it is to be passed over.
        if (e.id.empty()) return std::nullopt;
        e.address = net::Address::parse(string_or_empty(one, "addr"));
        e.zone = string_or_empty(one, "zone");
        e.kind = string_or_empty(one, "kind");
        e.group = static_cast<std::uint32_t>(value_or_min(one.find_number("cell").value_or(0), 0, 4e9));
        e.state = state_of(one.find_string("state"));
        e.share = value_or_min(one.find_number("weight").value_or(1), 0, 1e6);
        e.started_ms =
            static_cast<std::int64_t>(value_or_min(one.find_number("started_ms").value_or(0), 0, 9e15));
        listing.entries.push_back(std::move(e));
    }
    return listing;
}

}  // namespace gannethold::membership
