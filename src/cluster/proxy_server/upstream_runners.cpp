#include "cluster/proxy_server/upstream_runners.hpp"

#include <algorithm>
#include <utility>

#include "cluster/proxy_server/classify_attempt.hpp"
#include "cluster/proxy_server/forwarding.hpp"

namespace gannethold::cluster {
namespace {

constexpr Micros kConnectTimeout = 500'000;
constexpr Micros kIdleTimeout = 8'000'000;
constexpr std::size_t kMaxIdlePerRunner = 6;
constexpr std::size_t kMaxResponseBytes = 16U << 20;

}  // namespace

UpstreamRunners::UpstreamRunners(net::Loop& loop, Events events)
    : events_(std::move(events)),
      client_(loop,
              {.connect_timeout = kConnectTimeout,
               .idle_timeout = kIdleTimeout,
               .max_idle_connections = kMaxIdlePerRunner,
               .max_response_bytes = kMaxResponseBytes,
               .id_field = kAttemptIdHeader},
              {.on_call_completed = [this](CompletedCall&& call) { on_call_completed(std::move(call)); },
               .on_preconnected =
                   [this](const std::string& address) {
                       if (probes_.on_connected(address)) events_.on_probe_completed(address, true);
                   },
               .on_preconnect_failed =
                   [this](const std::string& address) {
                       if (probes_.on_connect_failed(net::Loop::now(), address))
                           events_.on_probe_rescheduled();
                   }}) {}

// All attempts of a request have the same id. A further attempt at the same address uses a new connection, so
// that a response to the earlier attempt is not taken for its own.
void UpstreamRunners::forward(const Actions::Forward& forward, DownstreamRequest& request) {
    std::vector<std::string>& addresses = request.attempted_addresses;
    const bool is_already_attempted =
        std::find(addresses.begin(), addresses.end(), forward.address) != addresses.end();
    if (!is_already_attempted) addresses.push_back(forward.address);
    client_.call(CallId{forward.request}, forward.address, make_upstream_request(request.message, forward),
                 is_already_attempted);
}

void UpstreamRunners::on_call_completed(CompletedCall&& call) {
    const auto id = static_cast<RequestId>(call.id);
    const AttemptResult result = classify_attempt(call.result, call.response, call.first_on_connection);
    completed_ = CompletedResponse{id, std::move(call.response)};
    events_.on_attempt_completed(id, result);
    completed_.reset();
}

std::optional<HttpMessage> UpstreamRunners::take_response(RequestId id) {
    if (!completed_ || completed_->request != id) return std::nullopt;
    std::optional<HttpMessage> response = std::move(completed_->message);
    completed_.reset();
    return response;
}

void UpstreamRunners::tick(Micros now) {
    const ProbeSchedule::Due due = probes_.take_due(now);
    for (const std::string& address : due.probed) client_.preconnect(address);
    for (const std::string& address : due.expired) events_.on_probe_completed(address, false);
}

}  // namespace gannethold::cluster
