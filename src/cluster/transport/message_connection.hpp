// A TCP connection between two of the system's own processes, on which messages travel both ways.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "net/connection.hpp"
#include "cluster/wire/codec.hpp"
#include "cluster/wire/frames.hpp"

namespace gannethold::cluster {

/// Sends and receives messages in order, each at most once. It does not reconnect. Bytes that are no message
/// close it.
///
/// Not thread-safe: all use is on the loop's thread. Ownership: the connection owns its socket and its
/// callbacks; what these refer to must outlive it. A callback may call any method, close() included, but must
/// not destroy the connection: move it elsewhere, and destroy it once the loop has come back from the
/// callback.
class MessageConnection final : net::Connection::Owner {
  public:
    struct Events {
        /// Of a connection that this process opened: it is established.
        std::function<void()> on_connected = [] {};
        /// Valid during the call. None comes after close().
        std::function<void(const ReceivedMessage&)> on_message;
        /// Once: the peer closed it, it could not be established in time, bytes were no message, or a message
        /// could not be sent (then from within send()). Not after close().
        std::function<void()> on_disconnected;
    };
    /// Takes over a socket that was accepted. It is open at once.
    MessageConnection(net::Loop& loop, evutil_socket_t accepted, Events events);
    /// Connects. It is open from on_connected onward.
    MessageConnection(net::Loop& loop, const net::Address& address, Micros connect_timeout, Events events);

    bool is_open() const { return is_open_; }
    /// Queues a message; `from` names the sender where the receiver needs that. Returns its size on the wire.
    /// 0: it was not sent, as the connection is closed, or is closed now because too much is unsent.
    std::size_t send(const Message& message, std::string_view from = {});
    /// Closes at once; what is unsent is lost. No event follows.
    void close();

    /// When bytes last arrived, the connection was established, or this object was made.
    Micros last_received_at() const { return last_received_at_; }
    /// Bytes that are queued and not yet accepted by the kernel.
    std::size_t unsent_bytes() const { return connection_.unsent_bytes(); }
    /// During on_message: the size of that message on the wire, its length prefix included.
    std::size_t message_bytes() const { return message_bytes_; }
    /// How many connections of this process were closed for bytes that were no message.
    static std::uint64_t malformed_connections();

  private:
    void on_connected() override;
    void on_bytes(std::string_view bytes) override;
    void on_closed(net::CloseReason) override;
    leaf::result<bool> receive_next();
    void disconnect();

    Events events_;
    FrameReader frames_;
    bool is_open_ = false;
    bool is_closed_ = false;
    Micros last_received_at_ = 0;
    std::size_t message_bytes_ = 0;
    net::Connection connection_;
};

}  // namespace gannethold::cluster
