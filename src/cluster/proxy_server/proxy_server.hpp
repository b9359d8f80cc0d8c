// The proxy as a whole: carries out what its request handler decides, between clients, runners and the
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

/// Runs on the loop's thread. What it needs of time it sets on a timer of its own.
class ProxyServer {
  public:
    struct Addresses {
        net::Address frontend;   ///< for clients
        net::Address readiness;  ///< for the platform's probes
    };
    /// Listens from here on. stopped: once after begin_shutdown(), when the loop may end.
    ProxyServer(net::Loop& loop, Settings settings, const Addresses& addresses,
                std::function<void()> stopped);

    /// Where to look for the coordinator from now on.
    void set_seeds(std::vector<std::string> seeds) { coordinator_.set_seeds(std::move(seeds)); }
    /// Answers what is pending within the grace period and takes nothing new. Later calls change nothing.
    void begin_shutdown();

    const Settings& settings() const { return settings_; }
    const RequestHandler& handler() const { return handler_; }

  private:
    UpstreamRunners::Events upstream_events();
    DownstreamServer::Events downstream_events();
    CoordinatorClient::Events coordinator_events();

    void on_coordinator_message(const Message& message, bool begins_session);
    void on_configuration(const ConfigurationSent& sent);
    void on_timer();
    void sweep(Micros now);
    void advance_shutdown(Micros now);
    void carry_out(const Actions& actions);
    void log_losses();
    void set_timer();
    Readiness readiness() const;

    Settings settings_;
    RequestHandler handler_;
    ConfigurationReceiver configurations_;
    Shutdown shutdown_;
    std::function<void()> stopped_;
    UpstreamRunners upstream_;
    DownstreamServer downstream_;
    ReadinessServer readiness_;
    CoordinatorClient coordinator_;
    Micros next_sweep_ = 0;
    net::Timer timer_;
};

}  // namespace gannethold::cluster
