#include "cluster/proxy_server/forwarding.hpp"

#include <charconv>
#include <string>
#include <system_error>
#include <utility>

namespace gannethold::cluster {
namespace {

constexpr std::uint32_t kDefaultDeadlineMs = 600'000;

// The proxy sets these fields for each attempt.
bool is_set_by_proxy(std::string_view field) {
    return http::equals_ignoring_case(field, kDeadlineHeader) ||
           http::equals_ignoring_case(field, kExpectedRunnerHeader);
}

}  // namespace

std::uint32_t parse_deadline_ms(std::string_view header) {
    std::uint32_t deadline_ms = 0;
    const auto parsed = std::from_chars(header.data(), header.data() + header.size(), deadline_ms);
    return parsed.ec == std::errc() ? deadline_ms : kDefaultDeadlineMs;
}

HttpMessage make_upstream_request(const HttpMessage& downstream, const Actions::Forward& forward) {
    HttpMessage request;
    request.method = downstream.method;
    request.target = downstream.target;
    for (const auto& [name, value] : downstream.fields)
        if (!is_hop_by_hop(name) && !is_set_by_proxy(name)) request.fields.emplace_back(name, value);
    request.fields.emplace_back(kDeadlineHeader, std::to_string(forward.remaining_ms));
    request.fields.emplace_back(kExpectedRunnerHeader, forward.runner);
    request.body = downstream.body;
    return request;
}

HttpMessage make_downstream_response(HttpMessage&& upstream) {
    HttpMessage response;
    response.status = upstream.status;
    for (auto& [name, value] : upstream.fields)
        if (!is_hop_by_hop(name)) response.fields.emplace_back(std::move(name), std::move(value));
    response.body = std::move(upstream.body);
    return response;
}

}  // namespace gannethold::cluster
