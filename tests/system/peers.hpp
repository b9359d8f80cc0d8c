// Scripted peers on loopback for tests of sockets. Nothing sleeps: the loop is turned, for a bounded time,
// until what is expected holds.
#pragma once

#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "net/loop.hpp"

namespace gannethold::cluster {

inline constexpr Micros kBoundedWait = 3'000'000;
inline constexpr Micros kTurn = 1'000;

inline std::size_t count(const std::string& text, const std::string& word) {
    std::size_t found = 0;
    for (std::size_t at = text.find(word); at != std::string::npos; at = text.find(word, at + 1)) ++found;
    return found;
}

inline sockaddr_in loopback(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

// One end of a connection, in the hands of the test.
class Wire {
  public:
    explicit Wire(int socket, bool blocks = false) : socket_(socket) {
        if (!blocks) fcntl(socket_, F_SETFL, O_NONBLOCK);
    }
    Wire(Wire&& other) noexcept : got(std::move(other.got)), socket_(std::exchange(other.socket_, -1)) {}
    ~Wire() { hang_up(); }

    static std::optional<Wire> try_to(std::uint16_t port) {
        std::optional<Wire> wire(std::in_place, ::socket(AF_INET, SOCK_STREAM, 0), true);
        const sockaddr_in address = loopback(port);
        if (connect(wire->socket_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
            return {};
        fcntl(wire->socket_, F_SETFL, O_NONBLOCK);
        return wire;
    }
    static Wire to(std::uint16_t port) {
        std::optional<Wire> wire = try_to(port);
        BOOST_REQUIRE(wire.has_value());
        return std::move(*wire);
    }
    // How many bytes of it the connection took.
    std::size_t say(std::string_view text) const {
        const std::size_t whole = text.size();
        while (!text.empty()) {
            const ssize_t sent = send(socket_, text.data(), text.size(), MSG_NOSIGNAL);
            if (sent <= 0) break;
            text.remove_prefix(static_cast<std::size_t>(sent));
        }
        return whole - text.size();
    }
    void hang_up() {
        if (socket_ >= 0) close(std::exchange(socket_, -1));
    }
    void half_close() const { shutdown(socket_, SHUT_WR); }
    void reset() {
        const linger at_once{1, 0};
        setsockopt(socket_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        hang_up();
    }
    // Takes up to so many bytes of what has come into got.
    Wire& look(std::size_t most = SIZE_MAX) {
        char space[65536];
        while (socket_ >= 0 && !closed && most > 0) {
            const ssize_t taken = recv(socket_, space, std::min(sizeof space, most), 0);
            if (taken > 0) {
                got.append(space, static_cast<std::size_t>(taken));
                most -= static_cast<std::size_t>(taken);
                continue;
            }
            if (taken == 0 || (errno != EAGAIN && errno != EWOULDBLOCK)) closed = true;
            break;
        }
        return *this;
    }
    bool has(const std::string& text) { return look().got.find(text) != std::string::npos; }

    std::string got;
    bool closed = false;

  private:
    int socket_;
};

// A listening socket of a scripted peer.
class Door {
  public:
    explicit Door(int receive_buffer = 0) : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
        if (receive_buffer > 0)
            setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
        sockaddr_in address = loopback(0);
        socklen_t length = sizeof address;
        BOOST_REQUIRE(bind(socket_, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
        getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &length);
        port = ntohs(address.sin_port);
        BOOST_REQUIRE(listen(socket_, 64) == 0);
    }
    ~Door() { shut(); }
    void shut() {
        if (socket_ >= 0) close(std::exchange(socket_, -1));
    }
    // Whoever has come; the newest is last.
    std::deque<Wire>& guests() {
        while (socket_ >= 0) {
            const int one = accept(socket_, nullptr, nullptr);
            if (one < 0) break;
            guests_.emplace_back(one);
        }
        return guests_;
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(port); }

    std::uint16_t port = 0;

  private:
    int socket_;
    std::deque<Wire> guests_;  // tests keep references
};

// A port of loopback that nobody listens on now.
inline std::uint16_t free_port() { return Door().port; }

// Turns the loop until it holds, for a bounded time.
inline bool turn_until(net::Loop& loop, const std::function<bool()>& holds) {
    net::Timer tick(loop, [] {});
    for (const Micros end = net::Loop::now() + kBoundedWait; net::Loop::now() < end;) {
        if (holds()) return true;
        tick.set(net::Loop::now() + kTurn);
        loop.turn(true);
    }
    return holds();
}

}  // namespace gannethold::cluster
