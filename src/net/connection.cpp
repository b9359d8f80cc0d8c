#include "net/connection.hpp"

#include <event2/buffer.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <unistd.h>

#include <cerrno>

namespace gannethold::net {
namespace {

constexpr Micros kLinger = 1'000'000;  // for a peer to close after us; longer gains nothing

void give_back(const void* block, std::size_t, void* pool) {
    static_cast<BlockPool*>(pool)->give_back(static_cast<char*>(const_cast<void*>(block)));
}

}  // namespace

Connection::Connection(Loop& loop, Owner& owner, evutil_socket_t accepted) : loop_(loop), owner_(owner) {
    listen_to(accepted);
}

Connection::Connection(Loop& loop, Owner& owner, const Address& to, Micros connect_limit)
    : loop_(loop), owner_(owner), connecting_(true) {
    limit_.emplace(loop, [this] { end(failure_); });
    const int socket = ::socket(to.where.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket < 0) {
        // Told in the next turn, like every other end: an owner is never called from a constructor.
        failure_ = Ending::out_of_sockets;
        limit_->set(0);
        return;
    }
    listen_to(socket);
    if (bufferevent_socket_connect(stream_.get(), to.get(), static_cast<int>(to.length)) != 0) {
        limit_->set(0);
        return;
    }
    failure_ = Ending::connect_timed_out;
    limit_->set(Loop::now() + connect_limit);
}

void Connection::listen_to(evutil_socket_t socket) {
    // Against Nagle's wait: heads and bodies are small and written whole.
    const int yes = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    stream_.reset(bufferevent_socket_new(loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(
        stream_.get(), [](bufferevent*, void* self) { static_cast<Connection*>(self)->read_some(); },
        [](bufferevent*, void* self) {
            auto* const c = static_cast<Connection*>(self);
            c->finishing_ ? c->hang_up() : c->owner_.all_written();
        },
        [](bufferevent*, short what, void* self) { static_cast<Connection*>(self)->event(what); }, this);
    // One read is one block at most, and what is not yet handed on is no more than that.
    bufferevent_set_max_single_read(stream_.get(), BlockPool::kBytes);
    bufferevent_setwatermark(stream_.get(), EV_READ, 0, BlockPool::kBytes);
    bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
}

void Connection::read_some() {
    char space[BlockPool::kBytes];
    const std::size_t n = bufferevent_read(stream_.get(), space, sizeof space);
    if (n > 0 && !finishing_) owner_.bytes({space, n});
}

void Connection::event(short what) {
    if (what & BEV_EVENT_CONNECTED) {
        connecting_ = false;
        limit_->cancel();
        owner_.connected();
        return;
    }
    if (connecting_) {
        // Read at once, before another call can change it.
        end(EVUTIL_SOCKET_ERROR() == ECONNREFUSED ? Ending::refused : Ending::unreachable);
    } else if (unsent()) {
        end(Ending::broken_unsent);
    } else {
        end(what & BEV_EVENT_EOF ? Ending::ended_early : Ending::broken);
    }
}

void Connection::end(Ending ending) {
    close();
    owner_.ended(finishing_ ? Ending::closed : ending);
}

void Connection::close() {
    if (limit_) limit_->cancel();
    if (stream_) unsent_at_end_ = unsent_bytes();
    stream_.reset();
}

void Connection::abort() {
    const linger at_once{1, 0};
    if (stream_)
        setsockopt(bufferevent_getfd(stream_.get()), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    close();
}

bool Connection::unsent() const {
    return stream_ && evbuffer_get_length(bufferevent_get_output(stream_.get())) > 0;
}

std::size_t Connection::unsent_bytes() const {
    return stream_ ? evbuffer_get_length(bufferevent_get_output(stream_.get())) : 0;
}

bool Connection::stale() const {
    char next;
    if (!stream_) return true;
    return recv(bufferevent_getfd(stream_.get()), &next, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 || errno != EAGAIN;
}

bool Connection::write(std::string_view bytes) {
    Blocks blocks(loop_.blocks());
    if (!blocks.append(bytes)) return false;
    write(std::move(blocks));
    return true;
}

void Connection::write(Blocks&& bytes) {
    if (!stream_) return;
    BlockPool& pool = bytes.pool();
    for (const auto& [block, used] : bytes.release())
        evbuffer_add_reference(bufferevent_get_output(stream_.get()), block, used, &give_back, &pool);
}

void Connection::finish() {
    if (!stream_ || finishing_) return;
    finishing_ = true;
    if (!limit_) limit_.emplace(loop_, [this] { end(Ending::closed); });
    // A peer that does not read what is left ends here too.
    limit_->set(Loop::now() + 5 * kLinger);
    if (!unsent()) hang_up();
}

// Against an answer lost to the reset that closing with unread bytes would send: our side ends first, and
// what still comes is read and dropped.
void Connection::hang_up() {
    if (std::exchange(hung_up_, true)) return;
    shutdown(bufferevent_getfd(stream_.get()), SHUT_WR);
    limit_->set(Loop::now() + kLinger);
}

}  // namespace gannethold::net
