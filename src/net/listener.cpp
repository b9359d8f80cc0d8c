#include "net/listener.hpp"

#include <netinet/in.h>

#include <stdexcept>
#include <string>

namespace gannethold::net {
namespace {
constexpr int kBacklog = 1024;
constexpr Micros kAcceptRetryDelay = 5'000;  // after a failed accept, so that the loop does not spin on it

bool is_listening(int descriptor) {
    int yes = 0;
    socklen_t length = sizeof yes;
    return getsockopt(descriptor, SOL_SOCKET, SO_ACCEPTCONN, &yes, &length) == 0 && yes != 0;
}

}  // namespace

Listener::Listener(Loop& loop, const ListenAddress& listen_address, OnAccepted on_accepted,
                   OnOutOfSockets on_out_of_sockets)
    : on_accepted_(std::move(on_accepted)),
      on_out_of_sockets_(std::move(on_out_of_sockets)),
      socket_(nullptr, &evconnlistener_free),
      resume_timer_(loop, [this] {
          if (socket_) evconnlistener_enable(socket_.get());
      }) {
    const auto on_accept = [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
        static_cast<Listener*>(self)->on_accepted_(socket);
    };
    constexpr unsigned kOptions = LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC;
    if (listen_address.inherited_descriptor) {
        if (!is_listening(*listen_address.inherited_descriptor))
            throw std::runtime_error("descriptor " + std::to_string(*listen_address.inherited_descriptor) +
                                     " was inherited and is no listening socket");
        // Several processes may wake for one connection, and the later ones must not block in accept.
        evutil_make_socket_nonblocking(*listen_address.inherited_descriptor);
        evutil_make_socket_closeonexec(*listen_address.inherited_descriptor);
        socket_.reset(evconnlistener_new(loop.base(), on_accept, this, kOptions, 0,
                                         *listen_address.inherited_descriptor));
    } else {
        socket_.reset(evconnlistener_new_bind(loop.base(), on_accept, this, kOptions, kBacklog,
                                              listen_address.address.get(),
                                              static_cast<int>(listen_address.address.length)));
    }
    if (!socket_) throw std::runtime_error("cannot listen on " + listen_address.address.text);
    sockaddr_storage where{};
    socklen_t length = sizeof where;
    getsockname(evconnlistener_get_fd(socket_.get()), reinterpret_cast<sockaddr*>(&where), &length);
    port_ = ntohs(reinterpret_cast<const sockaddr_in*>(&where)->sin_port);
    evconnlistener_set_error_cb(socket_.get(), [](evconnlistener* socket, void* self) {
        auto* const listener = static_cast<Listener*>(self);
        listener->on_out_of_sockets_();
        evconnlistener_disable(socket);
        listener->resume_timer_.set(Loop::now() + kAcceptRetryDelay);
    });
}

void Listener::stop() {
    resume_timer_.cancel();
    socket_.reset();
}

}  // namespace gannethold::net
