// How a request and its response are passed on between a client and a runner.
#pragma once

#include <cstdint>
#include <string_view>

#include "cluster/proxy/actions.hpp"
#include "cluster/transport/http_message.hpp"

namespace gannethold::cluster {

/// Tells a client's request, and the response to it, from all others.
inline constexpr char kAttemptIdHeader[] = "X-Attempt-Id";
/// Milliseconds until the request's deadline; each hop states what is left.
inline constexpr char kDeadlineHeader[] = "X-Deadline-Remaining";
/// The runner that is meant: another one that has the address by now answers 421.
inline constexpr char kExpectedRunnerHeader[] = "X-Expected-Runner";
/// In a response: the runner states that the request has not run.
inline constexpr char kNotRunHeader[] = "X-Request-Not-Run";

/// The deadline that a request states in milliseconds; ten minutes where it states none that can be read.
std::uint32_t parse_deadline_ms(std::string_view header);

/// The client's request as it goes to the runner: without the fields of the client's connection, with the
/// runner's name and the time that is left.
HttpMessage make_upstream_request(const HttpMessage& downstream, const Actions::Forward& forward);

/// The runner's response as it goes to the client: without the fields of the runner's connection.
HttpMessage make_downstream_response(HttpMessage&& upstream);

}  // namespace gannethold::cluster
