#include "cluster/base/error.hpp"

namespace gannethold::cluster {

ErrorResponse error_response(ErrorCode kind) {
    switch (kind) {
        case ErrorCode::settings_unreadable:
            return {"settings_unreadable", 0, false};
        case ErrorCode::settings_invalid:
            return {"settings_invalid", 0, false};
        case ErrorCode::bytes_malformed:
            return {"bytes_malformed", 0, false};
        case ErrorCode::configuration_cut:
            return {"configuration_cut", 400, false};
        case ErrorCode::configuration_invalid:
            return {"configuration_invalid", 422, false};
        case ErrorCode::too_large:
            return {"too_large", 413, false};
        case ErrorCode::head_too_large:
            return {"head_too_large", 431, false};
        case ErrorCode::request_malformed:
            return {"request_malformed", 400, false};
        case ErrorCode::no_route:
            return {"no_route", 404, false};
        case ErrorCode::not_leading:
            return {"not_leading", 307, false};
        case ErrorCode::version_conflict:
            return {"version_conflict", 409, false};
        case ErrorCode::no_majority:
            return {"no_majority", 503, true};
        case ErrorCode::disk_failed:
            return {"disk_failed", 503, true};
        case ErrorCode::no_slot:
            return {"no_slot", 503, true};
        case ErrorCode::leaving:
            return {"leaving", 503, true};
        case ErrorCode::not_offered:
            return {"not_offered", 503, true};
        case ErrorCode::may_have_run:
            return {"may_have_run", 502, false};
        case ErrorCode::time_over:
            return {"time_over", 504, false};
        case ErrorCode::platform_silent:
            return {"platform_silent", 0, false};
        case ErrorCode::platform_refused:
            return {"platform_refused", 0, false};
    }
    return {"unknown", 500, false};
}

}  // namespace gannethold::cluster
