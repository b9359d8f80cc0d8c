// Outbound connections to the other core machines, one each: what this machine sends to a peer goes over the
// connection that it dialed, what the peer sends comes over the one that the peer dialed.
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
    /// Both must outlive this object.
    PeerConnections(net::Loop& loop, const Settings& settings) : loop_(loop), settings_(settings) {}

    /// Sends over the peer's connection, and dials where there is none. The message is dropped where the peer
    /// was dialed lately without success, and where too much waits to be written already: consensus repeats
    /// what matters.
    void send(const std::string& member, const Message& message);

    /// A message of that peer came in, over whichever connection.
    void on_received_from(const std::string& member, Micros now) { peers_[member].last_received_at = now; }

    /// Closes connections to peers that are silent, so that a path that is cut is not waited for. Call it
    /// about twice a second.
    void sweep(Micros now);

  private:
    struct Peer {
        std::unique_ptr<MessageConnection> connection;  // nullptr: to be dialed
        Micros last_dialed_at = 0;
        Micros last_received_at = 0;
    };

    void dial(const std::string& member, Peer& peer);
    void retire(Peer& peer);

    net::Loop& loop_;
    const Settings& settings_;
    std::map<std::string, Peer> peers_;                       // by control_plane address
    std::vector<std::unique_ptr<MessageConnection>> closed_;  // until the next sweep: may be on the stack
};

}  // namespace gannethold::cluster
