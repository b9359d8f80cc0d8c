// The lists of runners that discovery sends, decoded. The field names of its protocol are used only here.
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

// One runner as discovery lists it.
struct Endpoint {
    std::string id;
    std::optional<net::Address> address;  // none: the address cannot be parsed
    std::string zone, kind;
    std::uint32_t group = 0;
    std::optional<RunnerState> state;  // none: unknown state
    double share = 1;
    std::int64_t started_ms = 0;  // Unix time; 0: not stated

    bool is_valid() const { return state && (address || *state == RunnerState::gone); }
};

// A complete list of runners (`full`), or the changes since an earlier version.
struct EndpointList {
    std::uint32_t version = 0;
    bool full = false;
    std::vector<Endpoint> entries;
};

// Serializes the list as discovery would send it, for another dispatcher.
std::string format_endpoint_list(const EndpointList& endpoints);
// Returns no value if `value` is not a list or an entry has no id.
std::optional<EndpointList> parse_endpoint_list(const json::Value& value);

}  // namespace gannethold::membership
