#include "tubes/tube_client.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <stdexcept>

namespace gannethold::rehearsal {

TubeClient::TubeClient(net::Loop& loop, const net::Address& address, OnReply on_reply)
    : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)),
      on_reply_(std::move(on_reply)),
      event_(event_new(
                 loop.base(), socket_, EV_READ | EV_PERSIST,
                 [](evutil_socket_t, short, void* self) { static_cast<TubeClient*>(self)->read(); }, this),
             &event_free) {
    if (::connect(socket_, address.get(), address.length) != 0) {
        ::close(socket_);
        throw std::runtime_error("cannot connect to " + address.text);
    }
    const int enabled = 1;
    setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    event_add(event_.get(), nullptr);
}

TubeClient::~TubeClient() {
    event_.reset();
    if (socket_ >= 0) ::close(socket_);
}

void TubeClient::send(std::string_view bytes) const {
    while (!bytes.empty() && !is_closed_) {
        const ssize_t sent = ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) return;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
}

void TubeClient::put(std::string_view body, unsigned priority, unsigned delay_s,
                     unsigned time_to_run_s) const {
    std::string command = "put " + std::to_string(priority) + " " + std::to_string(delay_s) + " " +
                          std::to_string(time_to_run_s) + " " + std::to_string(body.size()) + "\r\n";
    send(command.append(body).append("\r\n"));
}

void TubeClient::reset() {
    const linger no_linger{1, 0};
    setsockopt(socket_, SOL_SOCKET, SO_LINGER, &no_linger, sizeof no_linger);
    event_del(event_.get());
    ::close(std::exchange(socket_, -1));
    is_closed_ = true;
}

void TubeClient::read() {
    char buffer[65'536];
    const ssize_t received = ::recv(socket_, buffer, sizeof buffer, MSG_DONTWAIT);
    if (received > 0) input_.append(buffer, static_cast<std::size_t>(received));
    if (received == 0 || (received < 0 && errno != EAGAIN)) is_closed_ = true, event_del(event_.get());
    if (!is_parsing_) parse_replies();
}

void TubeClient::parse_replies() {
    is_parsing_ = true;
    for (std::size_t end; !is_closed_ && (end = input_.find("\r\n")) != std::string::npos;) {
        const std::string line = input_.substr(0, end);
        std::size_t body_size = 0;
        const bool has_body =
            line.starts_with("RESERVED ") || line.starts_with("FOUND ") || line.starts_with("OK ");
        if (has_body) {
            const auto last = line.rfind(' ') + 1;
            std::from_chars(line.data() + last, line.data() + line.size(), body_size);
            if (input_.size() < end + 2 + body_size + 2) break;
        }
        const std::string body = has_body ? input_.substr(end + 2, body_size) : "";
        input_.erase(0, end + 2 + (has_body ? body_size + 2 : 0));
        on_reply_(*this, line, body);
    }
    is_parsing_ = false;
}

}  // namespace gannethold::rehearsal
