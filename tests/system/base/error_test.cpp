// The published names and statuses of errors, which appear in responses and log lines.
#include "cluster/base/error.hpp"

#include <boost/test/unit_test.hpp>
#include <string>

namespace gannethold::cluster::tests {
namespace {

struct Published {
    ErrorCode code;
    std::string name;
    int status;
    bool guarantees_not_run;
};

}  // namespace

BOOST_AUTO_TEST_CASE(errors_have_their_published_names_and_statuses) {
    const Published all[] = {{ErrorCode::settings_unreadable, "settings_unreadable", 0, false},
                             {ErrorCode::settings_invalid, "settings_invalid", 0, false},
                             {ErrorCode::bytes_malformed, "bytes_malformed", 0, false},
                             {ErrorCode::configuration_malformed, "configuration_cut", 400, false},
                             {ErrorCode::configuration_invalid, "configuration_invalid", 422, false},
                             {ErrorCode::body_too_large, "too_large", 413, false},
                             {ErrorCode::header_too_large, "head_too_large", 431, false},
                             {ErrorCode::request_malformed, "request_malformed", 400, false},
                             {ErrorCode::no_route, "no_route", 404, false},
                             {ErrorCode::not_leader, "not_leading", 307, false},
                             {ErrorCode::version_conflict, "version_conflict", 409, false},
                             {ErrorCode::no_quorum, "no_majority", 503, true},
                             {ErrorCode::disk_failed, "disk_failed", 503, true},
                             {ErrorCode::no_slot, "no_slot", 503, true},
                             {ErrorCode::shutting_down, "leaving", 503, true},
                             {ErrorCode::not_sent, "not_offered", 503, true},
                             {ErrorCode::may_have_run, "may_have_run", 502, false},
                             {ErrorCode::deadline_exceeded, "time_over", 504, false},
                             {ErrorCode::platform_timeout, "platform_silent", 0, false},
                             {ErrorCode::platform_rejected, "platform_refused", 0, false}};
    for (const Published& expected : all) {
        const ErrorResponse response = error_response(expected.code);
        BOOST_TEST(response.name == expected.name);
        BOOST_TEST(response.status == expected.status, expected.name);
        BOOST_TEST(response.guarantees_not_run == expected.guarantees_not_run, expected.name);
    }
}

BOOST_AUTO_TEST_CASE(an_error_carries_its_code_and_detail) {
    const std::string seen = leaf::try_handle_all(
        []() -> leaf::result<std::string> { return make_error(ErrorCode::no_route, "of /x/"); },
        [](ErrorCode code, const ErrorDetail& detail) {
            return std::string(error_response(code).name) + ' ' + detail.text;
        },
        [] { return std::string("unknown"); });
    BOOST_TEST(seen == "no_route of /x/");
}

}  // namespace gannethold::cluster::tests
