// The proxy: executes the actions of its request handler, and connects it with clients, runners and the
// coordinator.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "cluster/base/settings.hpp"
#include "cluster/proxy/request_handler.hpp"
#include "cluster/proxy/shutdown.hpp"
#include "cluster/proxy_server/configuration_receiver.hpp"
#include "cluster/proxy_server/coordinator_client.hpp"
#include "cluster/proxy_server/downstream_server.hpp"
#include "cluster/proxy_server/readiness_server.hpp"
#include "cluster/proxy_server/upstream_runners.hpp"

namespace gannethold::cluster {

/// Runs on the thread of the event loop, and sets its own timer there.
class ProxyServer {
  public:
    struct Addresses {
        net::Address frontend;   ///< for clients
        net::Address readiness;  ///< for the platform's readiness probes
    };
    /// Starts to listen. on_stopped: called after begin_shutdown() when the loop may stop.
    ProxyServer(net::Loop& loop, Settings settings, const Addresses& addresses,
                std::function<void()> on_stopped);

    /// Replaces the addresses at which to look for the coordinator.
    void set_seeds(std::vector<std::string> seeds) { coordinator_.set_seeds(std::move(seeds)); }
    /// Starts a graceful shutdown: answers the pending requests within the grace period. Later calls have no
    /// effect.
    void begin_shutdown();

    const Settings& settings() const { return settings_; }
    const RequestHandler& handler() const { return handler_; }

  private:
    UpstreamRunners::Events upstream_events();
    DownstreamServer::Events downstream_events();
    CoordinatorClient::Events coordinator_events();

    void on_coordinator_message(const Message& message, bool begins_session);
    void on_configuration(const ConfigurationUpdate& update);
    void on_timer();
    void sweep(Micros now);
    void advance_shutdown(Micros now);
    void execute(const Actions& actions);
    void log_losses();
    void set_timer();
    Readiness readiness() const;

    Settings settings_;
    RequestHandler handler_;
    ConfigurationReceiver configurations_;
    Shutdown shutdown_;
    std::function<void()> on_stopped_;
    UpstreamRunners upstream_;
    DownstreamServer downstream_;
    ReadinessServer readiness_;
    CoordinatorClient coordinator_;
    Micros next_sweep_ = 0;
    net::Timer timer_;
};

}  // namespace gannethold::cluster
