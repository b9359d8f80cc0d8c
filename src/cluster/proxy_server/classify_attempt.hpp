// What the end of a call to a runner says about whether the request has run.
#pragma once

#include "cluster/proxy/attempt_result.hpp"
#include "cluster/transport/http_client.hpp"

namespace gannethold::cluster {

/// Judges how a call that bore kAttemptIdHeader ended. Only what the runner itself states counts as a promise
/// that the request has not run; a response that can not be shown to be this request's is outcome_unknown.
/// is_first_response: the first one on its connection, so that it can be no other request's.
AttemptResult classify_attempt(CallResult call_result, const HttpMessage& response, bool is_first_response);

}  // namespace gannethold::cluster
