// Manages the lifecycle of the coordinator in this process: a new one is started for each term in which this
// machine is the leader, and stopped at the end of the term. While the lease has expired, messages between
// the coordinator and the proxies' sessions are deferred.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "net/loop.hpp"
#include "cluster/base/settings.hpp"
#include "cluster/controller/durable_consensus.hpp"
#include "cluster/controller/inbound_connections.hpp"
#include "cluster/coordinator/coordinator.hpp"

namespace gannethold::cluster {

class CoordinatorRole {
  public:
    /// Returns the configuration of the entry if it has been parsed already, or nullptr.
    using ParsedConfigurationLookup = std::function<std::shared_ptr<const Configuration>(const LogEntry&)>;

    /// All references must outlive this object.
    CoordinatorRole(net::Loop& loop, const Settings& settings, const ExchangeRates& rates,
                    const DurableConsensus& consensus, InboundConnections& connections,
                    ParsedConfigurationLookup find_parsed);

    /// Starts or stops the coordinator according to this machine's role, passes the committed entry to it,
    /// and delivers deferred messages. Must be called when the role, the lease or the committed entry may
    /// have changed.
    void update();

    // Events of the proxies' sessions.
    void on_registered(Session session, const RegisterRequest& registration);
    void on_message(Session session, const Message& message);
    void on_disconnected(Session session);

    void tick(Micros now);
    /// When to call tick() next; the maximum of Micros if there is nothing to do.
    Micros next_tick(Micros now) const;

    /// The next update() stops the coordinator, and no new one is started.
    void begin_shutdown() { shutting_down_ = true; }

    /// Stops the coordinator, if there is one, and disconnects all proxies, which then register with the next
    /// leader.
    void stop_coordinator();

    /// Destroys stopped coordinators, which may have been on the call stack when they were stopped.
    void sweep() { stopped_.clear(); }

    /// The running coordinator, or nullptr.
    const Coordinator* coordinator() const { return coordinator_.get(); }

  private:
    struct DeferredMessage {
        Session session = 0;
        Message message;
    };

    // Whether the coordinator may send and receive messages now: only while this machine holds the lease
    // (Ongaro's thesis, section 6.4.1).
    bool can_act(Micros now) const { return !shutting_down_ && consensus_.has_lease(now); }
    void start_coordinator();
    void redirect(Session session);
    void deliver(Session session, const Message& message);
    void send(Session session, const Message& message);

    net::Loop& loop_;
    const Settings& settings_;
    ExchangeRates rates_;
    const DurableConsensus& consensus_;
    InboundConnections& connections_;
    ParsedConfigurationLookup find_parsed_;
    std::unique_ptr<Coordinator> coordinator_;
    std::vector<std::unique_ptr<Coordinator>> stopped_;
    // Deferred until the lease is regained.
    std::vector<DeferredMessage> deferred_inbound_;
    std::vector<DeferredMessage> deferred_outbound_;
    bool shutting_down_ = false;
};

}  // namespace gannethold::cluster
