// Outbound connections to the other core machines, one per peer. A machine sends over the connection that it
// dialed, and receives the peer's messages over the connection that the peer dialed.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/loop.hpp"
#include "cluster/base/settings.hpp"
#include "cluster/transport/message_connection.hpp"

namespace gannethold::cluster {

class PeerConnections {
  public:
    /// `loop` and `settings` must outlive this object.
    PeerConnections(net::Loop& loop, const Settings& settings) : loop_(loop), settings_(settings) {}

    /// Sends a message, and dials the peer if there is no connection. Drops the message if a recent dial has
    /// failed or too many bytes are unsent; consensus resends lost messages.
    void send(const std::string& member, const Message& message);

    /// Must be called for each message from the peer, whichever connection it arrived on.
    void on_received_from(const std::string& member, Micros now) { peers_[member].last_received_at = now; }

    /// Closes connections to silent peers, so that messages are not queued for an unreachable peer. Should be
    /// called about twice a second.
    void sweep(Micros now);

  private:
    struct Peer {
        std::unique_ptr<MessageConnection> connection;  // nullptr: not connected
        Micros last_dialed_at = 0;
        Micros last_received_at = 0;
    };

    void dial(const std::string& member, Peer& peer);
    void discard_connection(Peer& peer);

    net::Loop& loop_;
    const Settings& settings_;
    std::map<std::string, Peer> peers_;  // by control_plane address
    // May be on the call stack; destroyed by the next sweep().
    std::vector<std::unique_ptr<MessageConnection>> closed_;
};

}  // namespace gannethold::cluster
