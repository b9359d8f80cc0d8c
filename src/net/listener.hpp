// Accepts connections and never stops by itself: what waits in the system's backlog already counts as taken.
#pragma once

#include <event2/listener.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "net/address.hpp"
#include "net/loop.hpp"

namespace gannethold::net {

// Where clients come: an address of our own to bind, or a listening socket that was handed down and others
// have too.
struct Door {
    Door(const Address& bound, std::optional<int> handed_down = {}) : at(bound), inherited(handed_down) {}
    Address at;
    std::optional<int> inherited;
};

class Listener {
  public:
    using Accepted = std::function<void(evutil_socket_t)>;
    using Short = std::function<void()>;  // no descriptor is left: make room

    // Throws std::runtime_error where it cannot bind, or what was handed down is no listening socket.
    Listener(Loop& loop, const Door& door, Accepted accepted, Short out_of_sockets);
    // Accepts no more. A socket that was handed down goes on listening for whoever else has it.
    void stop();
    std::uint16_t port() const { return port_; }

  private:
    Accepted accepted_;
    Short short_;
    std::unique_ptr<evconnlistener, decltype(&evconnlistener_free)> socket_;
    Timer again_;
    std::uint16_t port_ = 0;
};

}  // namespace gannethold::net
