// The runners' side of a proxy: sends attempts and probes addresses.
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

class UpstreamRunners {
  public:
    /// Called from the loop, never within forward().
    struct Events {
        /// An attempt that was not cancelled has ended. take_response() has its response within this call.
        std::function<void(RequestId, AttemptResult)> attempt_completed;
        std::function<void(const std::string& address, bool reachable)> probe_completed;
        /// next_probe() is earlier than it was.
        std::function<void()> probe_rescheduled;
    };
    UpstreamRunners(net::Loop& loop, Events events);

    /// Begins an attempt of the request.
    void forward(const Actions::Forward& forward, DownstreamRequest& request);
    /// The attempt under way for the request ends without an event.
    void cancel(RequestId id) { client_.cancel(CallId{id}); }
    /// The response to the attempt that has just completed; nothing: there is none for that request.
    std::optional<HttpMessage> take_response(RequestId id);

    /// Probes the address until it takes a connection, or for too long: then probe_completed.
    void probe(Micros now, const std::string& address) { probes_.add(now, address); }
    std::optional<Micros> next_probe() const { return probes_.next(); }
    /// Closes the idle connections there.
    void evict(const std::string& address) { client_.close_idle(address); }

    /// Makes the probes that are due.
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
    std::optional<CompletedResponse> completed_;  // while attempt_completed runs
    HttpClient client_;
};

}  // namespace gannethold::cluster
