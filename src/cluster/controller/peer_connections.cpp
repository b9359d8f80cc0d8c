#include "cluster/controller/peer_connections.hpp"

#include <algorithm>
#include <utility>

#include "net/address.hpp"
#include "cluster/controller/peer_timeout.hpp"

namespace gannethold::cluster {
namespace {

constexpr Micros kConnectTimeout = 400'000;
constexpr Micros kRedialInterval = 100'000;
constexpr std::size_t kMaxUnsentBytes = std::size_t{256} * 1024;  // per peer

}  // namespace

void PeerConnections::send(const std::string& member, const Message& message) {
    Peer& peer = peers_[member];
    if (!peer.connection) {
        if (net::Loop::now() < peer.last_dialed_at + kRedialInterval) return;
        dial(member, peer);
    }
    if (peer.connection && peer.connection->unsent_bytes() < kMaxUnsentBytes)
        peer.connection->send(message, settings_.control_plane_address);
}

void PeerConnections::dial(const std::string& member, Peer& peer) {
    const auto address = net::Address::parse(settings_.internal_address_of(member));
    if (!address) return;
    peer.last_dialed_at = net::Loop::now();
    MessageConnection::Events events;
    events.on_message = [](const ReceivedMessage&) {};
    events.on_disconnected = [this, member] { discard_connection(peers_[member]); };
    peer.connection =
        std::make_unique<MessageConnection>(loop_, *address, kConnectTimeout, std::move(events));
}

void PeerConnections::discard_connection(Peer& peer) {
    if (peer.connection) closed_.push_back(std::move(peer.connection));
}

void PeerConnections::sweep(Micros now) {
    closed_.clear();
    for (auto& [member, peer] : peers_) {
        const Micros last_activity_at = std::max(peer.last_received_at, peer.last_dialed_at);
        if (!peer.connection || now <= last_activity_at + kPeerTimeout) continue;
        peer.connection->close();
        discard_connection(peer);
    }
}

}  // namespace gannethold::cluster
