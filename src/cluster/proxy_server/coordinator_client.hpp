// A proxy's session with the coordinator. The client connects, registers, follows redirects, sends heartbeats
// and reconnects after the session is lost.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cluster/base/settings.hpp"
#include "cluster/proxy_server/coordinator_addresses.hpp"
#include "cluster/transport/message_connection.hpp"

namespace gannethold::cluster {

/// Maintains at most one connection to a member of the core.
class CoordinatorClient {
  public:
    struct Events {
        /// Returns the first message of a new session.
        std::function<RegisterRequest()> make_registration;
        /// A message other than a redirect was received. begins_session: it accepts the registration.
        std::function<void(const Message&, bool begins_session)> on_message;
        /// The connection was lost or closed, whether registered or not.
        std::function<void()> on_disconnected;
        /// This process did not run for so long that the coordinator may have granted its slots to other
        /// proxies. on_disconnected follows, so that no request is sent under an old grant.
        std::function<void()> on_stalled;
    };
    /// Keeps a reference to settings, which hold the addresses of the members.
    CoordinatorClient(net::Loop& loop, const Settings& settings, Events events);

    /// No effect while there is no connection.
    void send(const Message& message);
    void set_seeds(std::vector<std::string> seeds) { addresses_.set_seeds(std::move(seeds)); }

    /// Connects, disconnects or sends a heartbeat, whichever is due.
    void tick(Micros now);
    /// Whether the coordinator has not answered for so long that requests should not wait for it. The session
    /// stays open, because the coordinator may only be slow.
    bool is_silent(Micros now) const;
    /// Returns when tick() is due next; nullopt while a connection is being established.
    std::optional<Micros> next_timer() const;
    /// Frees closed connections. Must not be called from an event.
    void sweep() { closed_.clear(); }

  private:
    void connect(Micros now);
    void disconnect();
    void on_message(const Message& message);
    void send_heartbeat();
    std::optional<Micros> next_heartbeat() const;
    void on_redirect(Micros now, const Redirect& redirect);
    bool is_stalled(Micros now) const;

    net::Loop& loop_;
    const Settings& settings_;
    Events events_;
    CoordinatorAddresses addresses_;
    std::unique_ptr<MessageConnection> connection_;           // nullptr: none
    std::vector<std::unique_ptr<MessageConnection>> closed_;  // freed by sweep()
    bool registered_ = false;                                 // on connection_
    Micros connect_started_at_;
    Micros last_sent_at_ = 0;
    Micros unanswered_since_ = 0;        // when the oldest unanswered message was sent; 0: none
    bool probe_heartbeat_sent_ = false;  // since unanswered_since_
    Micros last_active_at_;              // when this process was last known to run
};

}  // namespace gannethold::cluster
