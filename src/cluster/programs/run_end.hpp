// What the end of a call to a runner says about whether the request has run.
#pragma once

#include "cluster/proxy/request_handler.hpp"
#include "cluster/transport/http_client.hpp"

namespace gannethold::cluster {

/// Field by which a client's try, and the answer to it, are told from all others.
inline constexpr char kAttemptIdField[] = "X-Attempt-Id";

/// Judges how a call that bore kAttemptIdField ended. Only what the runner itself states counts as a promise
/// that the request has not run; an answer that can not be told to be this request's may_have_run.
/// fresh: it is the first answer on its connection, so that it can be no other request's.
AttemptResult judge(CallResult result, const HttpMessage& answer, bool fresh);

}  // namespace gannethold::cluster
