// Accepts connections until stop(). Connections in the system's backlog already count as accepted.
#pragma once

#include <event2/listener.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "net/address.hpp"
#include "net/loop.hpp"

namespace gannethold::net {

// Where to listen: an address to bind, or an inherited listening socket, which other processes may share.
struct ListenAddress {
    ListenAddress(const Address& bound, std::optional<int> inherited = {})
        : address(bound), inherited_descriptor(inherited) {}
    Address address;
    std::optional<int> inherited_descriptor;
};

class Listener {
  public:
    using OnAccepted = std::function<void(evutil_socket_t)>;
    using OnOutOfSockets = std::function<void()>;  // accept failed for lack of a descriptor: free some

    // Throws std::runtime_error if it cannot bind, or if the inherited descriptor is not a listening socket.
    Listener(Loop& loop, const ListenAddress& listen_address, OnAccepted on_accepted,
             OnOutOfSockets on_out_of_sockets);
    // Stops accepting. An inherited socket keeps listening for the other processes that share it.
    void stop();
    std::uint16_t port() const { return port_; }

  private:
    OnAccepted on_accepted_;
    OnOutOfSockets on_out_of_sockets_;
    std::unique_ptr<evconnlistener, decltype(&evconnlistener_free)> socket_;
    Timer resume_timer_;
    std::uint16_t port_ = 0;
};

}  // namespace gannethold::net
