// The clients and the operator of a trial: requests at a rate through all proxies, each answer counted, and
// the PUT of the configuration, repeated until a controller acknowledges it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>

#include "net/loop.hpp"
#include "cluster/transport/http_client.hpp"
#include "trial_site.hpp"

namespace gannethold::trial {

struct Outcomes {
    std::size_t sent = 0;
    int on_time = 0;  // answered within the function's latency target
    int late = 0;
    int rejected = 0;  // 503
    int failed = 0;
};

/// The configuration of the site under that version. Each further route, "/added-1/" and so on, leads to the
/// function "frame".
std::string configuration_body(int version, int added_routes);

class LoadGenerator {
  public:
    /// `loop` must outlive this object. Requests go to the first `proxies` of the site, on kept connections.
    explicit LoadGenerator(net::Loop& loop, int proxies = kProxies);

    /// Sends what is due since the last call at that rate of requests.
    void send_at_rate(Micros now, double requests_per_s);
    /// Without requests: repeats the PUT where it is due, and closes idle connections. Call it often.
    void tick(Micros now);

    const Outcomes& outcomes() const { return outcomes_; }

  private:
    struct PendingRequest {
        Micros sent_at = 0;
        const FunctionSpec* function = nullptr;
    };

    void put_configuration();
    void send_request();
    const FunctionSpec& draw_function();
    void on_call_completed(const cluster::CompletedCall& call);
    void on_put_completed(bool acknowledged);

    int proxies_;
    cluster::HttpClient client_;
    std::uint64_t last_call_ = 0;
    std::map<cluster::CallId, PendingRequest> pending_;
    Outcomes outcomes_;
    std::mt19937 random_{7};
    double requests_due_ = 0;
    Micros last_sent_at_;
    cluster::CallId put_call_{};
    int puts_ = 0;
    Micros next_put_ = 0;  // 0: acknowledged, or pending
    Micros next_sweep_ = 0;
};

}  // namespace gannethold::trial
