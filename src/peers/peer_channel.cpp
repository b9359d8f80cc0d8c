#include "peers/peer_channel.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <unistd.h>

#include <cstring>
#include <stdexcept>

namespace gannethold::peers {
namespace {

constexpr std::size_t kMaxMessageBytes = 256;  // the Balancer never sends a longer message
constexpr int kMaxMessagesPerTurn = 256;       // so that a flood of messages cannot starve the event loop

bool is_same_address(const net::Address& a, const sockaddr_storage& b) {
    if (a.storage.ss_family != AF_INET || b.ss_family != AF_INET) return false;
    const auto* const first = reinterpret_cast<const sockaddr_in*>(&a.storage);
    const auto* const second = reinterpret_cast<const sockaddr_in*>(&b);
    return first->sin_addr.s_addr == second->sin_addr.s_addr && first->sin_port == second->sin_port;
}

}  // namespace

PeerChannel::PeerChannel(net::Loop& loop, const PeerAddresses& addresses, MessageHandler on_message)
    : addresses_(addresses), on_message_(std::move(on_message)) {
    if (!addresses_.listen) return;
    const net::Address& address = *addresses_.listen;
    socket_ = ::socket(address.storage.ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket_ < 0 || bind(socket_, address.get(), address.length) != 0)
        throw std::runtime_error("cannot hear peers on " + address.text);
    const auto callback = [](evutil_socket_t, short, void* self) {
        static_cast<PeerChannel*>(self)->on_readable();
    };
    readable_.reset(event_new(loop.base(), socket_, EV_READ | EV_PERSIST, callback, this));
    event_add(readable_.get(), nullptr);
}

PeerChannel::~PeerChannel() {
    readable_.reset();
    if (socket_ >= 0) close(socket_);
}

void PeerChannel::send(PeerId to, std::string_view message) {
    const auto index = static_cast<std::size_t>(to);
    if (socket_ < 0 || index >= addresses_.all.size() || index == addresses_.own_index) return;
    const net::Address& address = addresses_.all[index];
    // A message that cannot be sent now counts as lost: a newer one follows within a period.
    (void)!sendto(socket_, message.data(), message.size(), MSG_NOSIGNAL, address.get(), address.length);
}

void PeerChannel::broadcast(std::string_view message) {
    for (std::size_t i = 0; i < addresses_.all.size(); ++i) send(static_cast<PeerId>(i), message);
}

void PeerChannel::on_readable() {
    char message[kMaxMessageBytes + 1];
    for (int n = 0; n < kMaxMessagesPerTurn; ++n) {
        sockaddr_storage from{};
        socklen_t length = sizeof from;
        const auto received =
            recvfrom(socket_, message, sizeof message, 0, reinterpret_cast<sockaddr*>(&from), &length);
        if (received < 0) return;
        if (static_cast<std::size_t>(received) > kMaxMessageBytes) continue;
        // Messages from addresses that are not in the configuration are ignored.
        for (std::size_t i = 0; i < addresses_.all.size(); ++i)
            if (i != addresses_.own_index && is_same_address(addresses_.all[i], from))
                on_message_(static_cast<PeerId>(i), {message, static_cast<std::size_t>(received)});
    }
}

}  // namespace gannethold::peers
