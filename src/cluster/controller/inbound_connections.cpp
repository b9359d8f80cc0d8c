#include "cluster/controller/inbound_connections.hpp"

#include <utility>

#include "cluster/controller/peer_timeout.hpp"

namespace gannethold::cluster {

InboundConnections::InboundConnections(net::Loop& loop, const net::Address& listen_at, Callbacks callbacks)
    : loop_(loop),
      callbacks_(std::move(callbacks)),
      listener_(
          loop, net::ListenAddress(listen_at), [this](evutil_socket_t socket) { on_accept(socket); }, [] {}) {
}

void InboundConnections::on_accept(evutil_socket_t socket) {
    const Session session = ++last_session_;
    MessageConnection::Events events;
    events.on_message = [this, session](const ReceivedMessage& received) { on_message(session, received); };
    events.on_disconnected = [this, session] { closed_.push_back(session); };
    peers_[session].connection = std::make_unique<MessageConnection>(loop_, socket, std::move(events));
}

void InboundConnections::on_message(Session session, const ReceivedMessage& received) {
    if (!received.from.empty()) return callbacks_.on_core_message(received.from, received.message);
    Peer& peer = peers_.at(session);
    if (const auto* registration = std::get_if<RegisterRequest>(&received.message)) {
        peer.is_proxy = true;
        peer.registration = *registration;
        return callbacks_.on_registered(session, *registration);
    }
    if (peer.is_proxy) callbacks_.on_proxy_message(session, received.message);
}

void InboundConnections::send(Session session, const Message& message) {
    const auto found = peers_.find(session);
    if (found != peers_.end() && found->second.connection->is_open()) found->second.connection->send(message);
}

void InboundConnections::disconnect_proxies() {
    for (auto& [session, peer] : peers_) {
        if (!peer.is_proxy) continue;
        peer.connection->close();
        closed_.push_back(session);
    }
}

void InboundConnections::sweep(Micros now) {
    for (auto& [session, peer] : peers_) {
        if (now <= peer.connection->last_received_at() + kPeerTimeout) continue;
        peer.connection->close();
        closed_.push_back(session);
    }
    for (const Session session : std::exchange(closed_, {})) {
        const auto found = peers_.find(session);
        if (found == peers_.end()) continue;  // closed twice
        if (found->second.is_proxy) callbacks_.on_proxy_disconnected(session);
        peers_.erase(found);
    }
}

}  // namespace gannethold::cluster
