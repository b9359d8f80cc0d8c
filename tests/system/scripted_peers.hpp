// Scripted peers on loopback, for tests with real sockets. Instead of sleeping, a test runs the event loop
// until the expected condition is true, for a bounded time.
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

inline constexpr Micros kMaxWait = 3'000'000;
inline constexpr Micros kPollInterval = 1'000;

inline std::size_t count_occurrences(const std::string& text, const std::string& pattern) {
    std::size_t count = 0;
    for (std::size_t at = text.find(pattern); at != std::string::npos; at = text.find(pattern, at + 1))
        ++count;
    return count;
}

inline sockaddr_in loopback(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// One end of a TCP connection that the test controls directly. Owns the socket.
class ScriptedConnection {
  public:
    explicit ScriptedConnection(int socket, bool blocking = false) : socket_(socket) {
        if (!blocking) fcntl(socket_, F_SETFL, O_NONBLOCK);
    }
    ScriptedConnection(const ScriptedConnection&) = delete;
    ScriptedConnection& operator=(const ScriptedConnection&) = delete;
    ScriptedConnection& operator=(ScriptedConnection&&) = delete;
    ScriptedConnection(ScriptedConnection&& other) noexcept
        : received(std::move(other.received)), socket_(std::exchange(other.socket_, -1)) {}
    ~ScriptedConnection() { close(); }

    /// Returns nullopt if the connection was refused.
    static std::optional<ScriptedConnection> try_connect(std::uint16_t port, int receive_buffer = 0) {
        std::optional<ScriptedConnection> connection(std::in_place, ::socket(AF_INET, SOCK_STREAM, 0), true);
        if (receive_buffer > 0)
            setsockopt(connection->socket_, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
        const sockaddr_in address = loopback(port);
        if (::connect(connection->socket_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
            return {};
        fcntl(connection->socket_, F_SETFL, O_NONBLOCK);
        return connection;
    }
    static ScriptedConnection connect_to(std::uint16_t port, int receive_buffer = 0) {
        std::optional<ScriptedConnection> connection = try_connect(port, receive_buffer);
        BOOST_REQUIRE(connection.has_value());
        return std::move(*connection);
    }
    /// Sends without blocking. Returns the number of bytes that were sent.
    std::size_t send(std::string_view text) const {
        const std::size_t size = text.size();
        while (!text.empty()) {
            const ssize_t sent = ::send(socket_, text.data(), text.size(), MSG_NOSIGNAL);
            if (sent <= 0) break;
            text.remove_prefix(static_cast<std::size_t>(sent));
        }
        return size - text.size();
    }
    void close() {
        if (socket_ >= 0) ::close(std::exchange(socket_, -1));
    }
    /// Shuts down the sending direction only.
    void half_close() const { shutdown(socket_, SHUT_WR); }
    void reset() {
        const linger immediate{1, 0};
        setsockopt(socket_, SOL_SOCKET, SO_LINGER, &immediate, sizeof immediate);
        close();
    }
    /// Appends at most max_bytes of the received data to `received`.
    ScriptedConnection& receive(std::size_t max_bytes = SIZE_MAX) {
        char buffer[65536];
        while (socket_ >= 0 && !closed && max_bytes > 0) {
            const ssize_t bytes = recv(socket_, buffer, std::min(sizeof buffer, max_bytes), 0);
            if (bytes > 0) {
                received.append(buffer, static_cast<std::size_t>(bytes));
                max_bytes -= static_cast<std::size_t>(bytes);
                continue;
            }
            if (bytes < 0 && errno == ECONNRESET) was_reset = true;
            if (bytes == 0 || (errno != EAGAIN && errno != EWOULDBLOCK)) closed = true;
            break;
        }
        return *this;
    }
    bool has_received(const std::string& text) { return receive().received.find(text) != std::string::npos; }

    std::string received;
    bool closed = false;     // the peer has closed or reset the connection
    bool was_reset = false;  // the peer has reset the connection

  private:
    int socket_;
};

/// A listening socket of a scripted peer, on a port that the operating system selects.
class ScriptedListener {
  public:
    explicit ScriptedListener(int receive_buffer = 0)
        : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
        if (receive_buffer > 0)
            setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
        sockaddr_in address = loopback(0);
        socklen_t length = sizeof address;
        BOOST_REQUIRE(bind(socket_, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
        getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &length);
        port = ntohs(address.sin_port);
        BOOST_REQUIRE(listen(socket_, 64) == 0);
    }
    ScriptedListener(const ScriptedListener&) = delete;
    ScriptedListener& operator=(const ScriptedListener&) = delete;
    ~ScriptedListener() { close(); }
    void close() {
        if (socket_ >= 0) ::close(std::exchange(socket_, -1));
    }
    /// Accepts the pending connections. Returns all connections so far, the newest last.
    std::deque<ScriptedConnection>& connections() {
        while (socket_ >= 0) {
            const int socket = accept(socket_, nullptr, nullptr);
            if (socket < 0) break;
            connections_.emplace_back(socket);
        }
        return connections_;
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(port); }

    std::uint16_t port = 0;

  private:
    int socket_;
    std::deque<ScriptedConnection> connections_;  // a deque, because tests keep references to the elements
};

/// Returns a loopback port on which no socket is listening at the time of the call.
inline std::uint16_t free_port() { return ScriptedListener().port; }

/// Runs the loop until the condition is true. Returns false if that takes longer than kMaxWait.
inline bool run_loop_until(net::Loop& loop, const std::function<bool()>& condition) {
    net::Timer tick(loop, [] {});
    for (const Micros end = net::Loop::now() + kMaxWait; net::Loop::now() < end;) {
        if (condition()) return true;
        tick.set(net::Loop::now() + kPollInterval);
        loop.run_once(true);
    }
    return condition();
}

}  // namespace gannethold::cluster
