// Inbound connections from other processes of the system: core machines, which identify themselves in each
// message, and proxies, which register.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/address.hpp"
#include "net/listener.hpp"
#include "cluster/slots/slot_table.hpp"
#include "cluster/transport/message_connection.hpp"

namespace gannethold::cluster {

class InboundConnections {
  public:
    struct Callbacks {
        std::function<void(const std::string& member, const Message&)> on_core_message;
        /// A proxy has registered, possibly not for the first time on its connection.
        std::function<void(Session, const RegisterRequest&)> on_registered;
        /// Any other message from a registered proxy.
        std::function<void(Session, const Message&)> on_proxy_message;
        /// The last callback for the session of a registered proxy. Only called by sweep().
        std::function<void(Session)> on_proxy_disconnected;
    };

    /// Throws std::runtime_error if `listen_at` cannot be bound. `loop` must outlive this object.
    InboundConnections(net::Loop& loop, const net::Address& listen_at, Callbacks callbacks);

    /// Sends a message, which is dropped if the session has ended.
    void send(Session session, const Message& message);

    /// Calls `visit(Session, const RegisterRequest&)` for each registered proxy that is connected.
    template <class Visit>
    void for_each_proxy(const Visit& visit) const {
        for (const auto& [session, peer] : peers_)
            if (peer.is_proxy && peer.connection->is_open()) visit(session, peer.registration);
    }

    /// Closes the connections of all proxies, which then register with the next leader.
    void disconnect_proxies();

    /// Closes connections that exceed kPeerTimeout, removes closed ones, and calls on_proxy_disconnected for
    /// them. Should be called about twice a second.
    void sweep(Micros now);

  private:
    struct Peer {
        std::unique_ptr<MessageConnection> connection;
        bool is_proxy = false;         // it has registered
        RegisterRequest registration;  // the newest one
    };

    void on_accept(evutil_socket_t socket);
    void on_message(Session session, const ReceivedMessage& received);

    net::Loop& loop_;
    Callbacks callbacks_;
    net::Listener listener_;
    std::map<Session, Peer> peers_;
    std::vector<Session> closed_;  // removed by the next sweep: may be on the call stack
    Session last_session_ = 0;
};

}  // namespace gannethold::cluster
