// The errors of the cluster's processes, and the HTTP response that corresponds to each of them.
//
// A function that can fail returns leaf::result<T> (Boost.LEAF). Its error is made by make_error and carries
// an ErrorCode and an ErrorDetail; a handler (leaf::try_handle_all) takes both, or the code alone. No
// exception escapes from the public functions of a folder.
#pragma once

#include <boost/leaf.hpp>
#include <string>
#include <utility>

namespace gannethold::cluster {

namespace leaf = boost::leaf;

enum class ErrorCode {
    settings_unreadable,      // the settings file is missing, or is not a list of a.b=value lines
    settings_invalid,         // a setting is missing or has an invalid value
    bytes_malformed,          // bytes from another process or from the disk cannot be decoded
    configuration_malformed,  // the text is truncated or is not JSON
    configuration_invalid,    // the JSON violates the rules for configurations
    body_too_large,           // exceeds a limit of the configuration in force
    header_too_large,         // exceeds a limit of the configuration in force
    request_malformed,
    no_route,
    not_leader,         // another controller is the leader
    version_conflict,   // another configuration was confirmed under this version
    no_quorum,          // the controllers cannot commit anything at present
    disk_failed,        // a write did not reach the disk, so it was not acknowledged
    no_slot,            // no runner had a free slot in time; the request has not run
    shutting_down,      // this process is shutting down; the request has not run
    not_sent,           // the deadline passed before any runner got the request
    may_have_run,       // sent to a runner, but no complete response was received
    deadline_exceeded,  // sent to a runner, and the deadline passed before its response
    platform_timeout,
    platform_rejected,
};

// What is wrong and where, in prose for operators.
struct ErrorDetail {
    std::string text;
};

struct ErrorResponse {
    const char* name;         // appears in log lines and response bodies; part of the published interface
    int status;               // HTTP status; 0: the error is never sent as a response
    bool guarantees_not_run;  // the response states that the request has not run and will not run
};

// Returns the response that corresponds to the code. Defined for every ErrorCode.
ErrorResponse error_response(ErrorCode code);

// Creates an error, to be returned from a function that returns leaf::result<T>. All errors are made here.
inline leaf::error_id make_error(ErrorCode code, std::string detail = {}) {
    return leaf::new_error(code, ErrorDetail{std::move(detail)});
}

}  // namespace gannethold::cluster
