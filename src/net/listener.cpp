#include "net/listener.hpp"

#include <netinet/in.h>

#include <stdexcept>

namespace gannethold::net {
namespace {
constexpr int kBacklog = 1024;
constexpr Micros kPause = 5'000;  // after a vain accept: against a loop that spins on it
}  // namespace

Listener::Listener(Loop& loop, const Address& at, Accepted accepted, Short out_of_sockets)
    : accepted_(std::move(accepted)),
      short_(std::move(out_of_sockets)),
      socket_(nullptr, &evconnlistener_free),
      again_(loop, [this] { evconnlistener_enable(socket_.get()); }) {
    const auto take = [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
        static_cast<Listener*>(self)->accepted_(socket);
    };
    socket_.reset(evconnlistener_new_bind(loop.base(), take, this,
                                          LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC,
                                          kBacklog, at.get(), static_cast<int>(at.length)));
    if (!socket_) throw std::runtime_error("cannot listen on " + at.text);
    evconnlistener_set_error_cb(socket_.get(), [](evconnlistener* socket, void* self) {
        auto* const listener = static_cast<Listener*>(self);
        listener->short_();
        evconnlistener_disable(socket);
        listener->again_.set(Loop::now() + kPause);
    });
}

std::uint16_t Listener::port() const {
    sockaddr_storage where{};
    socklen_t length = sizeof where;
    getsockname(evconnlistener_get_fd(socket_.get()), reinterpret_cast<sockaddr*>(&where), &length);
    return ntohs(reinterpret_cast<const sockaddr_in*>(&where)->sin_port);
}

}  // namespace gannethold::net
