#include "cluster/proxy_server/classify_attempt.hpp"

#include "cluster/proxy_server/forwarding.hpp"

namespace gannethold::cluster {
namespace {

constexpr int kMisdirectedRequest = 421;
constexpr int kRequestTimeout = 408;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;
constexpr int kFirstServerError = 500;

// Clients interpret these statuses as a guarantee that the request has not run, which only kNotRunHeader
// gives.
bool implies_not_run(int status) {
    return status == kRequestTimeout || status == kTooManyRequests || status == kServiceUnavailable;
}

AttemptResult classify_response(const HttpMessage& response, bool is_first_response) {
    const bool has_id = !response.field(kAttemptIdHeader).empty();
    const bool is_misdirected = response.status == kMisdirectedRequest;
    if (is_misdirected || !response.field(kNotRunHeader).empty()) {
        // Without an id, it may be a surplus response to an earlier request on the same connection.
        if (!has_id && !is_first_response) return AttemptResult::outcome_unknown;
        return is_misdirected ? AttemptResult::misdirected : AttemptResult::rejected;
    }
    if (!has_id || !response.field("Content-Encoding").empty()) return AttemptResult::outcome_unknown;
    if (implies_not_run(response.status)) return AttemptResult::outcome_unknown;
    return response.status >= kFirstServerError ? AttemptResult::runner_error : AttemptResult::succeeded;
}

}  // namespace

AttemptResult classify_attempt(CallResult call_result, const HttpMessage& response, bool is_first_response) {
    switch (call_result) {
        case CallResult::connect_failed:
            return AttemptResult::connect_failed;
        case CallResult::not_sent:
            return AttemptResult::not_sent;
        case CallResult::completed:
            return classify_response(response, is_first_response);
        case CallResult::connection_lost:
        case CallResult::malformed_response:
            break;
    }
    return AttemptResult::outcome_unknown;
}

}  // namespace gannethold::cluster
