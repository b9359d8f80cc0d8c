#include "cluster/base/error.hpp"

namespace gannethold::cluster {

Answer answer_to(Kind kind) {
    switch (kind) {
        case Kind::settings_unreadable:
            return {"settings_unreadable", 0, false};
        case Kind::settings_invalid:
            return {"settings_invalid", 0, false};
        case Kind::bytes_malformed:
            return {"bytes_malformed", 0, false};
        case Kind::configuration_cut:
            return {"configuration_cut", 400, false};
        case Kind::configuration_invalid:
            return {"configuration_invalid", 422, false};
        case Kind::too_large:
            return {"too_large", 413, false};
        case Kind::head_too_large:
            return {"head_too_large", 431, false};
        case Kind::request_malformed:
            return {"request_malformed", 400, false};
        case Kind::no_route:
            return {"no_route", 404, false};
        case Kind::not_leading:
            return {"not_leading", 307, false};
        case Kind::version_conflict:
            return {"version_conflict", 409, false};
        case Kind::no_majority:
            return {"no_majority", 503, true};
        case Kind::disk_failed:
            return {"disk_failed", 503, true};
        case Kind::no_slot:
            return {"no_slot", 503, true};
        case Kind::leaving:
            return {"leaving", 503, true};
        case Kind::not_offered:
            return {"not_offered", 503, true};
        case Kind::may_have_run:
            return {"may_have_run", 502, false};
        case Kind::time_over:
            return {"time_over", 504, false};
        case Kind::platform_silent:
            return {"platform_silent", 0, false};
        case Kind::platform_refused:
            return {"platform_refused", 0, false};
    }
    return {"unknown", 500, false};
}

}  // namespace gannethold::cluster
