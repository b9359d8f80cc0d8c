// Connections that other processes of the system dialed: core machines, which name themselves in each
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
        /// A proxy has registered, for the first time on its connection or again.
        std::function<void(Session, const RegisterRequest&)> on_registered;
        /// Another message of a proxy that has registered.
        std::function<void(Session, const Message&)> on_proxy_message;
        /// The last callback of a session that has registered. Not called within another member.
        std::function<void(Session)> on_proxy_disconnected;
    };

    /// Throws std::runtime_error where `listen_at` can not be bound. `loop` must outlive this object.
    InboundConnections(net::Loop& loop, const net::Address& listen_at, Callbacks callbacks);

    /// Dropped where the session is over.
    void send(Session session, const Message& message);

    /// Calls `visit(Session, const Register&)` for each proxy that has registered and is connected.
    template <class Visit>
    void for_each_proxy(const Visit& visit) const {
        for (const auto& [session, peer] : peers_)
            if (peer.is_proxy && peer.connection->is_open()) visit(session, peer.registration);
    }

    /// Closes all proxies' connections, so that they register with the next leader.
    void disconnect_proxies();

    /// Closes connections that are silent, forgets closed ones, and calls on_proxy_disconnected for them.
    /// Call it about twice a second.
    void sweep(Micros now);

  private:
    struct Peer {
        std::unique_ptr<MessageConnection> connection;
        bool is_proxy = false;         // has registered
        RegisterRequest registration;  // the newest
    };

    void on_accept(evutil_socket_t socket);
    void on_message(Session session, const ReceivedMessage& received);

    net::Loop& loop_;
    Callbacks callbacks_;
    net::Listener listener_;
    std::map<Session, Peer> peers_;
    std::vector<Session> closed_;  // their connections may be on the stack: forgotten with the next sweep
    Session last_session_ = 0;
};

}  // namespace gannethold::cluster
