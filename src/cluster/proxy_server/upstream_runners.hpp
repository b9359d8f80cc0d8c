// The runner side of a proxy: sends attempts and probes addresses.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "cluster/proxy/actions.hpp"
#include "cluster/proxy/attempt_result.hpp"
#include "cluster/proxy_server/downstream_server.hpp"
#include "cluster/proxy_server/probe_schedule.hpp"
#include "cluster/transport/http_client.hpp"

namespace gannethold::cluster {

/// The connections to all runners.
class UpstreamRunners {
  public:
    /// Called from the event loop, never from within forward().
    struct Events {
        /// An attempt that was not cancelled has ended. take_response() returns its response during this
        /// call.
        std::function<void(RequestId, AttemptResult)> on_attempt_completed;
        std::function<void(const std::string& address, bool reachable)> on_probe_completed;
        /// The time returned by next_probe() has become earlier.
        std::function<void()> on_probe_rescheduled;
    };
    UpstreamRunners(net::Loop& loop, Events events);

    /// Starts an attempt of the request.
    void forward(const Actions::Forward& forward, DownstreamRequest& request);
    /// Ends the request's current attempt without an event.
    void cancel(RequestId id) { client_.cancel(CallId{id}); }
    /// Returns the response to the attempt that has just completed; nullopt if the request has none.
    std::optional<HttpMessage> take_response(RequestId id);

    /// Probes the address until it accepts a connection or the probe expires, then calls on_probe_completed.
    void probe(Micros now, const std::string& address) { probes_.add(now, address); }
    std::optional<Micros> next_probe() const { return probes_.next(); }
    /// Closes the idle connections to the address.
    void evict(const std::string& address) { client_.close_idle(address); }

    /// Performs the probes that are due.
    void tick(Micros now);
    void sweep(Micros now) { client_.close_expired(now); }

  private:
    struct CompletedResponse {
        RequestId request = 0;
        HttpMessage message;
    };

    void on_call_completed(CompletedCall&& call);

    Events events_;
    ProbeSchedule probes_;
    std::optional<CompletedResponse> completed_;  // set during on_attempt_completed only
    HttpClient client_;
};

}  // namespace gannethold::cluster
