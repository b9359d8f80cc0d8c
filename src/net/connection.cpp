#include "net/connection.hpp"

#include <event2/buffer.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <unistd.h>

#include <cerrno>

namespace gannethold::net {
namespace {

constexpr Micros kMaxLinger = 1'000'000;  // for the peer to close after us; a longer wait gains nothing

void give_back(const void* block, std::size_t, void* pool) {
    static_cast<BlockPool*>(pool)->release(static_cast<char*>(const_cast<void*>(block)));
}

}  // namespace

Connection::Connection(Loop& loop, Owner& owner, evutil_socket_t accepted) : loop_(loop), owner_(owner) {
    attach(accepted);
}

Connection::Connection(Loop& loop, Owner& owner, const Address& to, Micros connect_limit)
    : loop_(loop), owner_(owner), is_connecting_(true) {
    time_limit_.emplace(loop, [this] { close_and_report(connect_failure_); });
    const int socket = ::socket(to.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket < 0) {
        // Reported in the next loop iteration: the owner is never called from a constructor.
        connect_failure_ = CloseReason::out_of_sockets;
        time_limit_->set(0);
        return;
    }
    attach(socket);
    if (bufferevent_socket_connect(stream_.get(), to.get(), static_cast<int>(to.length)) != 0) {
        time_limit_->set(0);
        return;
    }
    connect_failure_ = CloseReason::connect_timed_out;
    time_limit_->set(Loop::now() + connect_limit);
}

void Connection::attach(evutil_socket_t socket) {
    // Avoids the delay of Nagle's algorithm: heads and bodies are small and written in one piece.
    const int yes = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    stream_.reset(bufferevent_socket_new(loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(
        stream_.get(), [](bufferevent*, void* self) { static_cast<Connection*>(self)->on_readable(); },
        [](bufferevent*, void* self) {
            auto* const connection = static_cast<Connection*>(self);
            connection->is_finishing_ ? connection->shut_down_write() : connection->owner_.on_all_written();
        },
        [](bufferevent*, short what, void* self) { static_cast<Connection*>(self)->on_event(what); }, this);
    // Reads at most one block at a time, and buffers no more than that.
    bufferevent_set_max_single_read(stream_.get(), BlockPool::kBlockBytes);
    bufferevent_setwatermark(stream_.get(), EV_READ, 0, BlockPool::kBlockBytes);
    bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
}

void Connection::on_readable() {
    char space[BlockPool::kBlockBytes];
    const std::size_t n = bufferevent_read(stream_.get(), space, sizeof space);
    if (n > 0 && !is_finishing_) owner_.on_bytes({space, n});
}

void Connection::on_event(short what) {
    if (what & BEV_EVENT_CONNECTED) {
        is_connecting_ = false;
        time_limit_->cancel();
        owner_.on_connected();
        return;
    }
    if (is_connecting_) {
        // The socket error is read first, before another call can change it.
        close_and_report(EVUTIL_SOCKET_ERROR() == ECONNREFUSED ? CloseReason::refused
                                                               : CloseReason::unreachable);
    } else if (has_unsent_bytes()) {
        close_and_report(CloseReason::broken_unsent);
    } else {
        close_and_report(what & BEV_EVENT_EOF ? CloseReason::ended_early : CloseReason::broken);
    }
}

void Connection::close_and_report(CloseReason reason) {
    close();
    owner_.on_closed(is_finishing_ ? CloseReason::closed : reason);
}

void Connection::close() {
    if (time_limit_) time_limit_->cancel();
    if (stream_) unsent_bytes_at_close_ = unsent_bytes();
    stream_.reset();
}

void Connection::abort() {
    const linger at_once{1, 0};
    if (stream_)
        setsockopt(bufferevent_getfd(stream_.get()), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    close();
}

bool Connection::has_unsent_bytes() const {
    return stream_ && evbuffer_get_length(bufferevent_get_output(stream_.get())) > 0;
}

std::size_t Connection::unsent_bytes() const {
    return stream_ ? evbuffer_get_length(bufferevent_get_output(stream_.get())) : 0;
}

bool Connection::is_stale() const {
    char next;
    if (!stream_) return true;
    return recv(bufferevent_getfd(stream_.get()), &next, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 || errno != EAGAIN;
}

bool Connection::write(std::string_view bytes) {
    BlockBuffer blocks(loop_.block_pool());
    if (!blocks.append(bytes)) return false;
    write(std::move(blocks));
    return true;
}

void Connection::write(BlockBuffer&& bytes) {
    if (!stream_) return;
    BlockPool& pool = bytes.pool();
    for (const auto& [block, used] : bytes.release_blocks())
        evbuffer_add_reference(bufferevent_get_output(stream_.get()), block, used, &give_back, &pool);
}

void Connection::finish() {
    if (!stream_ || is_finishing_) return;
    is_finishing_ = true;
    if (!time_limit_) time_limit_.emplace(loop_, [this] { close_and_report(CloseReason::closed); });
    // Also bounds the time for a peer that does not read the remaining bytes.
    time_limit_->set(Loop::now() + 5 * kMaxLinger);
    if (!has_unsent_bytes()) shut_down_write();
}

// Closing a socket with unread bytes would send a reset, which can destroy a response in flight. So only the
// write side is shut down first, and further bytes from the peer are read and dropped.
void Connection::shut_down_write() {
    if (std::exchange(is_write_shut_down_, true)) return;
    shutdown(bufferevent_getfd(stream_.get()), SHUT_WR);
    time_limit_->set(Loop::now() + kMaxLinger);
}

}  // namespace gannethold::net
