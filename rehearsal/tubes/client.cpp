#include "tubes/client.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <stdexcept>

namespace gannethold::rehearsal {

TubeClient::TubeClient(net::Loop& loop, const net::Address& to, Heard heard)
    : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)),
      heard_(std::move(heard)),
      event_(event_new(
                 loop.base(), socket_, EV_READ | EV_PERSIST,
                 [](evutil_socket_t, short, void* self) { static_cast<TubeClient*>(self)->read(); }, this),
             &event_free) {
    if (::connect(socket_, to.get(), to.length) != 0) {
        ::close(socket_);
        throw std::runtime_error("nobody listens on " + to.text);
    }
    const int yes = 1;
    setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    event_add(event_.get(), nullptr);
}

TubeClient::~TubeClient() {
    event_.reset();
    if (socket_ >= 0) ::close(socket_);
}

void TubeClient::say(std::string_view words) const {
    while (!words.empty() && !closed_) {
        const ssize_t n = ::send(socket_, words.data(), words.size(), MSG_NOSIGNAL);
        if (n <= 0) return;
        words.remove_prefix(static_cast<std::size_t>(n));
    }
}

void TubeClient::put(std::string_view body, unsigned priority, unsigned delay_s, unsigned run_s) const {
    std::string all = "put " + std::to_string(priority) + " " + std::to_string(delay_s) + " " +
                      std::to_string(run_s) + " " + std::to_string(body.size()) + "\r\n";
    say(all.append(body).append("\r\n"));
}

void TubeClient::reset() {
    const linger at_once{1, 0};
    setsockopt(socket_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    event_del(event_.get());
    ::close(std::exchange(socket_, -1));
    closed_ = true;
}

void TubeClient::read() {
    char space[65'536];
    const ssize_t n = ::recv(socket_, space, sizeof space, MSG_DONTWAIT);
    if (n > 0) got_.append(space, static_cast<std::size_t>(n));
    if (n == 0 || (n < 0 && errno != EAGAIN)) closed_ = true, event_del(event_.get());
    if (!taking_) take();
}

void TubeClient::take() {
    taking_ = true;
    for (std::size_t end; !closed_ && (end = got_.find("\r\n")) != std::string::npos;) {
        const std::string line = got_.substr(0, end);
        std::size_t body = 0;
        const bool has_body =
            line.starts_with("RESERVED ") || line.starts_with("FOUND ") || line.starts_with("OK ");
        if (has_body) {
            const auto last = line.rfind(' ') + 1;
            std::from_chars(line.data() + last, line.data() + line.size(), body);
            if (got_.size() < end + 2 + body + 2) break;
        }
        const std::string text = has_body ? got_.substr(end + 2, body) : "";
        got_.erase(0, end + 2 + (has_body ? body + 2 : 0));
        heard_(*this, line, text);
    }
    taking_ = false;
}

}  // namespace gannethold::rehearsal
