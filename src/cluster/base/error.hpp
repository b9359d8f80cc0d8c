// The closed list of what can go wrong in the system, and what each kind is answered with.
//
// Functions that can fail return leaf::result<T>; an error carries one Kind and, where it helps, a Detail
// that says what is wrong and where. Nothing else is thrown across a part's border.
#pragma once

#include <boost/leaf.hpp>
#include <string>
#include <utility>

namespace gannethold::cluster {

namespace leaf = boost::leaf;

enum class ErrorCode {
    settings_unreadable,    // the settings file is missing or not made of a.b=value lines
    settings_invalid,       // a key is missing or has a value that can not be used
    bytes_malformed,        // between processes: not a message
    configuration_cut,      // not whole, or not JSON
    configuration_invalid,  // read whole, and against the rules for configurations
    too_large,              // over a limit of the configuration in force
    head_too_large,
    request_malformed,
    no_route,
    not_leading,       // another core machine decides
    version_conflict,  // another configuration was confirmed under this number
    no_majority,       // the core can not decide at present
    disk_failed,       // not on disk, so not acknowledged
    no_slot,           // no runner can take it in the time it has; it has not run
    leaving,           // this process ends; it has not run
    not_offered,       // the time is over and it was never sent
    may_have_run,      // sent, and no whole answer came
    time_over,         // sent, and the time is over
    platform_silent,
    platform_refused,
};

struct ErrorDetail {
    std::string text;
};

struct ErrorResponse {
    const char* name;         // in log lines
    int status;               // for whoever asked over HTTP; 0: nobody is asked
    bool guarantees_not_run;  // the status says that it has not run and never will
};

// Total over Kind.
ErrorResponse error_response(ErrorCode kind);

inline leaf::error_id failure(ErrorCode kind, std::string detail = {}) {
    return leaf::new_error(kind, ErrorDetail{std::move(detail)});
}

}  // namespace gannethold::cluster
