#include "cluster/base/error.hpp"

#include <array>
#include <cstddef>

namespace gannethold::cluster {
namespace {

struct Row {
    ErrorCode code;
    ErrorResponse response;
};

// By the values of ErrorCode. The names were published before the codes had theirs, and stay.
constexpr std::array kResponses{
    Row{ErrorCode::settings_unreadable, {"settings_unreadable", 0, false}},
    Row{ErrorCode::settings_invalid, {"settings_invalid", 0, false}},
    Row{ErrorCode::bytes_malformed, {"bytes_malformed", 0, false}},
    Row{ErrorCode::configuration_malformed, {"configuration_cut", 400, false}},
    Row{ErrorCode::configuration_invalid, {"configuration_invalid", 422, false}},
    Row{ErrorCode::body_too_large, {"too_large", 413, false}},
    Row{ErrorCode::header_too_large, {"head_too_large", 431, false}},
    Row{ErrorCode::request_malformed, {"request_malformed", 400, false}},
    Row{ErrorCode::no_route, {"no_route", 404, false}},
    Row{ErrorCode::not_leader, {"not_leading", 307, false}},
    Row{ErrorCode::version_conflict, {"version_conflict", 409, false}},
    Row{ErrorCode::no_quorum, {"no_majority", 503, true}},
    Row{ErrorCode::disk_failed, {"disk_failed", 503, true}},
    Row{ErrorCode::no_slot, {"no_slot", 503, true}},
    Row{ErrorCode::shutting_down, {"leaving", 503, true}},
    Row{ErrorCode::not_sent, {"not_offered", 503, true}},
    Row{ErrorCode::may_have_run, {"may_have_run", 502, false}},
    Row{ErrorCode::deadline_exceeded, {"time_over", 504, false}},
    Row{ErrorCode::platform_timeout, {"platform_silent", 0, false}},
    Row{ErrorCode::platform_rejected, {"platform_refused", 0, false}},
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
