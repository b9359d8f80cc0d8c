// Accepts connections and never stops: what waits in the system's backlog already counts as taken.
#pragma once

#include <event2/listener.h>

#include <functional>
#include <memory>

#include "net/address.hpp"
#include "net/loop.hpp"

namespace gannethold::net {

class Listener {
  public:
    using Accepted = std::function<void(evutil_socket_t)>;
    using Short = std::function<void()>;  // no descriptor is left: make room

    Listener(Loop& loop, const Address& at, Accepted accepted, Short out_of_sockets);
    std::uint16_t port() const;

  private:
    Accepted accepted_;
    Short short_;
    std::unique_ptr<evconnlistener, decltype(&evconnlistener_free)> socket_;
    Timer again_;
};

}  // namespace gannethold::net
