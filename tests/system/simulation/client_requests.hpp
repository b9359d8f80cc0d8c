// The requests of clients: their course from a proxy to a runner and back, with what must hold of it: each is
// answered once, none that isn't idempotent runs twice, and none runs that was answered as not run.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "cluster/proxy/request_handler.hpp"
#include "configuration_template.hpp"
#include "environment.hpp"
#include "platform.hpp"

namespace gannethold::cluster::simulation {

class ClientRequests {
  public:
    /// Of one route.
    struct RouteOutcomes {
        int answered = 0;
        int late = 0;    // answered after the latency target
        int errors = 0;  // answered by the proxy itself
        Micros max_latency = 0;
        Micros max_rejection_latency = 0;  // until an answer that guarantees that the request has not run
    };
    struct Outcomes {
        std::map<int, int> statuses;  // of answers, by HTTP status
        std::map<std::string, RouteOutcomes> routes;
        int late = 0;
        int runs = 0;               // at runners
        int runner_rejections = 0;  // of attempts at a runner that is full
        int unconnected = 0;        // that met a proxy which accepts no connections
    };
    using AttemptCallback = std::function<void(AttemptResult)>;

    ClientRequests(Environment& environment, const ConfigurationTemplate& configuration, Platform& platform);

    /// A new request for that route at that incarnation of a proxy.
    RequestId open(std::size_t proxy, Number proxy_incarnation, const std::string& route, int work_ms);
    void on_not_connected() { ++outcomes_.unconnected; }
    /// The proxy answers with an error of its own.
    void on_reply(RequestId id, ErrorCode error);
    /// The proxy passes a runner's answer on.
    void on_relay(RequestId id);
    /// The proxy gives up its attempt: the runner drops the request.
    void cancel_attempt(RequestId id);
    /// Sends an attempt to the runner of that id at that address.
    void attempt(RequestId id, const std::string& runner, const std::string& address,
                 AttemptCallback on_ended);
    /// Of that incarnation of a proxy.
    std::vector<RequestId> unanswered(std::size_t proxy, Number proxy_incarnation) const;
    /// That share of the runners' answers is lost from now on.
    void set_answer_loss(double share) { answer_loss_ = share; }
    const Outcomes& outcomes() const { return outcomes_; }
    /// All zero for a route without requests.
    RouteOutcomes outcomes_of(const std::string& route) const;
    int count_status(int status) const;

  private:
    struct Request {
        std::size_t proxy = 0;
        Number proxy_incarnation = 0;
        std::string route;
        std::string runner;  // that works on it; empty: none
        int work_ms = 0;
        int runs = 0;
        bool idempotent = true;
        bool answered = false;
        bool guaranteed_not_run = false;
        Micros arrived_at = 0;
        Micros latency_target = 0;
    };

    void mark_answered(Request& request);
    void on_attempt_arrived(RequestId id, const std::string& runner, const std::string& address,
                            const AttemptCallback& on_ended);
    void on_work_done(RequestId id, const std::string& runner, bool answer_lost,
                      const AttemptCallback& on_ended);
    void report(const std::string& what) { environment_.violations.report(what); }

    Environment& environment_;
    const ConfigurationTemplate& configuration_;
    Platform& platform_;
    RequestId last_id_ = 0;
    std::map<RequestId, Request> requests_;
    double answer_loss_ = 0;
    Outcomes outcomes_;
};

}  // namespace gannethold::cluster::simulation
