// Messages between dispatchers, one UDP datagram each. They may be late or lost, and are not acknowledged.
#pragma once

#include <functional>
#include <string_view>
#include <vector>

#include "net/address.hpp"
#include "net/loop.hpp"
#include "types.hpp"

namespace gannethold::peers {

// The address on which this dispatcher receives, and the addresses of all dispatchers, indexed by PeerId.
struct PeerAddresses {
    std::optional<net::Address> listen;
    std::vector<net::Address> all;
    std::size_t own_index = 0;
};

// Sends and receives the messages. Without a `listen` address it does nothing.
class PeerChannel {
  public:
    using MessageHandler = std::function<void(PeerId, std::string_view)>;

    // Throws std::runtime_error if it cannot bind.
    PeerChannel(net::Loop& loop, const PeerAddresses& addresses, MessageHandler on_message);
    ~PeerChannel();
    PeerChannel(const PeerChannel&) = delete;
    PeerChannel& operator=(const PeerChannel&) = delete;

    void send(PeerId to, std::string_view message);
    void broadcast(std::string_view message);

  private:
    void on_readable();

    const PeerAddresses addresses_;
    MessageHandler on_message_;
    int socket_ = -1;
    net::EventHandle readable_{nullptr, &event_free};
};

}  // namespace gannethold::peers
