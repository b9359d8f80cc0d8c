// The operator of a soak: a series of configurations, each with one route more or one fewer, and what became
// of them.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "net/loop.hpp"
#include "cluster/transport/http_client.hpp"
#include "trial_site.hpp"

namespace gannethold::trial {

class OperatorChanges {
  public:
    /// `loop` must outlive this object.
    OperatorChanges(net::Loop& loop, unsigned seed);

    /// Sends the next change where one is due, and the last again until it has a clear answer.
    void tick(Micros now);
    /// No further change: the last one is still sent until it is acknowledged.
    void stop_changing() { is_changing_ = false; }
    bool has_pending() const { return pending_version_ > 0; }

    /// The newest version that was acknowledged; 0: none.
    int acknowledged_version() const { return acknowledged_version_; }
    /// How many routes that version adds.
    int added_routes() const { return added_routes_; }
    /// What no rule of the system allows, a line each.
    const std::vector<std::string>& violations() const { return violations_; }

  private:
    enum class Order { change, invalid_change, read };

    struct PendingOrder {
        Order order = Order::read;
        int version = 0;       // of a change
        int acknowledged = 0;  // the newest version as the order was sent
    };

    void send(Order order, int version, const cluster::HttpMessage& request);
    void send_change();
    void send_invalid_change();
    void send_read();
    void on_call_completed(const cluster::CompletedCall& call);
    void on_answer(const PendingOrder& order, const cluster::HttpMessage& response);

    cluster::HttpClient client_;
    std::mt19937 random_;
    std::uint64_t last_call_ = 0;
    std::map<cluster::CallId, PendingOrder> orders_;
    std::vector<std::string> violations_;
    bool is_changing_ = true;
    int version_ = 1;  // the load generator has put it
    int acknowledged_version_ = 0;
    int added_routes_ = 0;
    int pending_version_ = 0;  // 0: none
    int pending_routes_ = 0;
    Micros next_order_at_ = 0;
};

}  // namespace gannethold::trial
