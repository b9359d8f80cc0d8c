// The coordinator, which the core's leader runs during one term. It grants the slots of all runners to
// proxies, plans the number of runners, starts and stops them through the platform's API, and sends the
// committed configuration to proxies. Each term has a new coordinator, which rebuilds its state from the
// registrations of proxies and the platform's lists.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "json/json.hpp"
#include "cluster/base/bounded_history.hpp"
#include "cluster/base/settings.hpp"
#include "cluster/coordinator/configuration_publisher.hpp"
#include "cluster/coordinator/platform_client.hpp"
#include "cluster/placement/planner.hpp"
#include "cluster/runners/runner_list_poller.hpp"
#include "cluster/slots/slot_table.hpp"

namespace gannethold::cluster {

/// A start or stop of a runner that was requested from the platform, with the result.
struct PlatformAction {
    enum class Kind { start, stop };
    Micros at = 0;
    Kind kind = Kind::start;
    std::string service;  // of a start only
    std::string worker;   // of a start only
    std::string runner;
    std::string status;  // the HTTP status; "none" if there was no response
    const char* reason = "";
};

/// A registered proxy.
struct RegisteredProxy {
    std::string name;
    ProxyConfiguration configuration;
};

/// Not thread-safe: all calls are made on the thread of the event loop. Times are those of net::Loop::now().
class Coordinator final : private PlatformClient::Listener {
  public:
    using Send = std::function<void(Session, const Message&)>;

    /// `term` is part of the fencing token of all requests to the platform. `loop` and `settings` must
    /// outlive this object. Any member function that is not const may call `send`.
    Coordinator(net::Loop& loop, const Settings& settings, const ExchangeRates& rates, Number term,
                Send send);

    /// Handles the newest committed entry. Repeated calls with the same entry have no effect. `parsed`: the
    /// configuration in the entry, or nullptr if it has not been parsed.
    void on_committed(const LogEntry& entry, std::shared_ptr<const Configuration> parsed);

    // Sessions of proxies. A session starts with its first registration and ends with on_disconnected().
    void on_registered(Session session, const RegisterRequest& registration);
    void on_message(Session session, const Message& message);
    void on_disconnected(Session session);

    /// Performs the work that is due. No effect before next_tick().
    void tick(Micros now);
    Micros next_tick() const { return next_tick_; }
    Number term() const { return term_; }

    /// Adds a part of the coordinator's status to `status`: starts, functions, waiting, overtakings or
    /// fronts; empty: all parts.
    void explain(Micros now, const std::string& part, json::Object& status) const;

  private:
    void on_runner_page(Micros now, const RunnerListPage& page) override;
    void on_runner_list_failed(Micros now) override;
    void on_worker_list(Micros now, std::vector<Worker> workers) override;
    void on_worker_list_failed(Micros now) override;
    void on_start_completed(Micros now, const StartRunner& start,
                            const PlatformClient::StartReply& reply) override;
    void on_stop_completed(Micros now, const StopRunner& stop,
                           const PlatformClient::StopReply& reply) override;

    void on_acquire(Micros now, Session session, const AcquireRequest& request);
    void update_slots(Micros now, Session session, const Message& message);
    void send_update(Session session, RegisteredProxy& proxy);
    void send_all(ProxyOutbox& messages);
    void announce_ranks_by(Micros at);
    void announce_ranks();
    void poll_platform(Micros now);
    void plan_all(Micros now);
    void plan_waiting(Micros now, Function& function);
    void send_due_requests(Micros now);
    void log_priority_inversions();
    void log_priority_inversion(const PriorityInversion& inversion) const;
    std::string proxy_name(Session session) const;

    Number term_;
    Send send_;
    SlotTable slot_table_;
    Planner planner_;
    RunnerListPoller list_poller_;
    PlatformClient platform_;
    ConfigurationPublisher publisher_;
    std::map<Session, RegisteredProxy> proxies_;
    std::vector<std::string> members_;  // of the core
    Micros next_tick_ = 0;
    Micros announce_ranks_at_ = 0;  // 0: no announcement is due
    Micros next_worker_list_ = 0;
    bool worker_list_pending_ = false;
    std::size_t inversions_logged_ = 0;
    BoundedHistory<PlatformAction> recent_actions_;
};

}  // namespace gannethold::cluster
