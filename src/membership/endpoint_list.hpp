// What discovery says, read into our words; the protocol's names end here.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "json/json.hpp"
#include "net/address.hpp"
#include "types.hpp"

namespace gannethold::membership {

struct Endpoint {
    std::string id;
    std::optional<net::Address> address;  // none with an address that cannot be read
    std::string zone, kind;
    std::uint32_t group = 0;
    std::optional<RunnerState> state;  // none with a state that is not known
    double share = 1;
    std::int64_t started_ms = 0;  // Unix time; 0: long ago

    bool is_valid() const { return state && (address || *state == RunnerState::gone); }
};

struct EndpointList {
    std::uint32_t version = 0;
    bool full = false;
    std::vector<Endpoint> entries;
};

// In discovery's own form, for another dispatcher.
std::string format_endpoint_list(const EndpointList& listing);
std::optional<EndpointList> parse_endpoint_list(const json::Value& value);

}  // namespace gannethold::membership
