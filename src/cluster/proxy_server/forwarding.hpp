// Conversion of requests and responses that the proxy forwards between clients and runners.
#pragma once

#include <cstdint>
#include <string_view>

#include "cluster/proxy/actions.hpp"
#include "cluster/transport/http_message.hpp"

namespace gannethold::cluster {

/// Identifies a client's request and the response to it.
inline constexpr char kAttemptIdHeader[] = "X-Attempt-Id";
/// Milliseconds until the request's deadline. Each hop sets it to the remaining time.
inline constexpr char kDeadlineHeader[] = "X-Deadline-Remaining";
/// The runner that the request is for. If the address now belongs to another runner, that runner answers 421.
inline constexpr char kExpectedRunnerHeader[] = "X-Expected-Runner";
/// In a response: the runner states that the request has not run.
inline constexpr char kNotRunHeader[] = "X-Request-Not-Run";

/// Parses the value of kDeadlineHeader. Returns ten minutes if it is missing or invalid.
std::uint32_t parse_deadline_ms(std::string_view header);

/// Returns the request to send to the runner: the client's request without hop-by-hop fields, and with the
/// runner's name and the remaining time.
HttpMessage make_upstream_request(const HttpMessage& downstream, const Actions::Forward& forward);

/// Returns the response to send to the client: the runner's response without hop-by-hop fields.
HttpMessage make_downstream_response(HttpMessage&& upstream);

}  // namespace gannethold::cluster
