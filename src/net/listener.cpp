#include "net/listener.hpp"

#include <netinet/in.h>

#include <stdexcept>
#include <string>

namespace gannethold::net {
namespace {
constexpr int kBacklog = 1024;
constexpr Micros kPause = 5'000;  // after a vain accept: against a loop that spins on it

bool listens(int descriptor) {
    int yes = 0;
    socklen_t length = sizeof yes;
    return getsockopt(descriptor, SOL_SOCKET, SO_ACCEPTCONN, &yes, &length) == 0 && yes != 0;
}

}  // namespace

Listener::Listener(Loop& loop, const Door& door, Accepted accepted, Short out_of_sockets)
    : accepted_(std::move(accepted)),
      short_(std::move(out_of_sockets)),
      socket_(nullptr, &evconnlistener_free),
      again_(loop, [this] {
          if (socket_) evconnlistener_enable(socket_.get());
      }) {
    const auto take = [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
        static_cast<Listener*>(self)->accepted_(socket);
    };
    constexpr unsigned kManner = LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC;
    if (door.inherited) {
        if (!listens(*door.inherited))
            throw std::runtime_error("descriptor " + std::to_string(*door.inherited) +
                                     " was handed down and is no listening socket");
        // Two processes are woken for one connection, and the second must not wait in accept.
        evutil_make_socket_nonblocking(*door.inherited);
        evutil_make_socket_closeonexec(*door.inherited);
        socket_.reset(evconnlistener_new(loop.base(), take, this, kManner, 0, *door.inherited));
    } else {
        socket_.reset(evconnlistener_new_bind(loop.base(), take, this, kManner, kBacklog, door.at.get(),
                                              static_cast<int>(door.at.length)));
    }
    if (!socket_) throw std::runtime_error("cannot listen on " + door.at.text);
    sockaddr_storage where{};
    socklen_t length = sizeof where;
    getsockname(evconnlistener_get_fd(socket_.get()), reinterpret_cast<sockaddr*>(&where), &length);
    port_ = ntohs(reinterpret_cast<const sockaddr_in*>(&where)->sin_port);
    evconnlistener_set_error_cb(socket_.get(), [](evconnlistener* socket, void* self) {
        auto* const listener = static_cast<Listener*>(self);
        listener->short_();
        evconnlistener_disable(socket);
        listener->again_.set(Loop::now() + kPause);
    });
}

void Listener::stop() {
    again_.cancel();
    socket_.reset();
}

}  // namespace gannethold::net
