// The errors of the cluster's processes, and the HTTP response that each of them becomes.
//
// A function that can fail returns leaf::result<T> (Boost.LEAF). Its error is made by make_error and carries
// an ErrorCode and an ErrorDetail; a handler (leaf::try_handle_all) takes both, or the code alone. No
// exception leaves a folder's public functions.
#pragma once

#include <boost/leaf.hpp>
#include <string>
#include <utility>

namespace gannethold::cluster {

namespace leaf = boost::leaf;

enum class ErrorCode {
    settings_unreadable,      // the settings file is missing, or not made of a.b=value lines
    settings_invalid,         // a setting is missing, or has a value that cannot be used
    bytes_malformed,          // bytes of another process, or of the disk, that are not what they should be
    configuration_malformed,  // cut short, or not JSON
    configuration_invalid,    // JSON that breaks the rules for configurations
    body_too_large,           // over a limit of the configuration in force
    header_too_large,         // likewise
    request_malformed,
    no_route,
    not_leader,         // another controller is the leader
    version_conflict,   // another configuration was confirmed under this version
    no_quorum,          // no decision can be made at present
    disk_failed,        // not on disk, so not acknowledged
    no_slot,            // no runner has a free slot in time; the request has not run
    shutting_down,      // this process shuts down; the request has not run
    not_sent,           // the deadline passed before any runner got the request
    may_have_run,       // sent to a runner, and no complete response came
    deadline_exceeded,  // sent to a runner, and the deadline passed
    platform_timeout,
    platform_rejected,
};

// What is wrong, and where, for the operator who reads it.
struct ErrorDetail {
    std::string text;
};

struct ErrorResponse {
    const char* name;         // in log lines and in the body of the response; part of the interface
    int status;               // of HTTP; 0: an error that never becomes a response
    bool guarantees_not_run;  // the response promises that the request has not run and will not run
};

// Defined for every ErrorCode.
ErrorResponse error_response(ErrorCode code);

// The one way to make an error: return it from a function that returns leaf::result<T>.
inline leaf::error_id make_error(ErrorCode code, std::string detail = {}) {
    return leaf::new_error(code, ErrorDetail{std::move(detail)});
}

}  // namespace gannethold::cluster
