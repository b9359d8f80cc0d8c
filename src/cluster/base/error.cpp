#include "cluster/base/error.hpp"

#include <array>
#include <cstddef>

namespace gannethold::cluster {
namespace {

struct ErrorRow {
    ErrorCode code;
    ErrorResponse response;
};

// Indexed by the value of ErrorCode. The names are part of the published interface, so they do not follow the
// enumerators where those were renamed.
constexpr std::array kResponses{
    ErrorRow{ErrorCode::settings_unreadable, {"settings_unreadable", 0, false}},
    ErrorRow{ErrorCode::settings_invalid, {"settings_invalid", 0, false}},
    ErrorRow{ErrorCode::bytes_malformed, {"bytes_malformed", 0, false}},
    ErrorRow{ErrorCode::configuration_malformed, {"configuration_cut", 400, false}},
    ErrorRow{ErrorCode::configuration_invalid, {"configuration_invalid", 422, false}},
    ErrorRow{ErrorCode::body_too_large, {"too_large", 413, false}},
    ErrorRow{ErrorCode::header_too_large, {"head_too_large", 431, false}},
    ErrorRow{ErrorCode::request_malformed, {"request_malformed", 400, false}},
    ErrorRow{ErrorCode::no_route, {"no_route", 404, false}},
    ErrorRow{ErrorCode::not_leader, {"not_leading", 307, false}},
    ErrorRow{ErrorCode::version_conflict, {"version_conflict", 409, false}},
    ErrorRow{ErrorCode::no_quorum, {"no_majority", 503, true}},
    ErrorRow{ErrorCode::disk_failed, {"disk_failed", 503, true}},
    ErrorRow{ErrorCode::no_slot, {"no_slot", 503, true}},
    ErrorRow{ErrorCode::shutting_down, {"leaving", 503, true}},
    ErrorRow{ErrorCode::not_sent, {"not_offered", 503, true}},
    ErrorRow{ErrorCode::may_have_run, {"may_have_run", 502, false}},
    ErrorRow{ErrorCode::deadline_exceeded, {"time_over", 504, false}},
    ErrorRow{ErrorCode::platform_timeout, {"platform_silent", 0, false}},
    ErrorRow{ErrorCode::platform_rejected, {"platform_refused", 0, false}},
};

constexpr bool rows_match_codes() {
    for (std::size_t row = 0; row < kResponses.size(); ++row)
        if (static_cast<std::size_t>(kResponses[row].code) != row) return false;
    return kResponses.size() == static_cast<std::size_t>(ErrorCode::platform_rejected) + 1;
}
static_assert(rows_match_codes());

}  // namespace

ErrorResponse error_response(ErrorCode code) {
    return kResponses.at(static_cast<std::size_t>(code)).response;
}

}  // namespace gannethold::cluster
