// Classification of completed calls to runners, by whether the request has run.
#pragma once

#include "cluster/proxy/attempt_result.hpp"
#include "cluster/transport/http_client.hpp"

namespace gannethold::cluster {

/// Classifies the result of a call whose request had a kAttemptIdHeader field. Only a statement of the runner
/// itself guarantees that the request has not run. A response that may belong to another request gives
/// outcome_unknown. is_first_response: the response is the first on its connection, so that it can not belong
/// to an earlier request.
AttemptResult classify_attempt(CallResult call_result, const HttpMessage& response, bool is_first_response);

}  // namespace gannethold::cluster
