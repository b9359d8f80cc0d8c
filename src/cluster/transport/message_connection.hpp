// A TCP connection between two of the cluster's processes, which carries messages in both directions.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "net/connection.hpp"
#include "cluster/wire/codec.hpp"
#include "cluster/wire/frames.hpp"

namespace gannethold::cluster {

/// Sends and receives messages in order, each at most once. It does not reconnect, and it is closed when
/// malformed bytes are received.
///
/// Not thread-safe: all use is on the loop's thread. Ownership: the connection owns its socket and its
/// callbacks; what these refer to must outlive it. A callback may call any method, close() included, but must
/// not destroy the connection: destroy it only after the callback has returned to the loop.
class MessageConnection final : net::Connection::Owner {
  public:
    struct Events {
        /// A connection that this process opened has been established.
        std::function<void()> on_connected = [] {};
        /// A message was received; it is valid during the callback. Not called after close().
        std::function<void(const ReceivedMessage&)> on_message;
        /// Called at most once: the peer closed the connection, it could not be established in time,
        /// malformed bytes were received, or a message could not be sent (then from within send()). Not
        /// called after close().
        std::function<void()> on_disconnected;
    };
    /// Takes ownership of an accepted socket. The connection is open at once.
    MessageConnection(net::Loop& loop, evutil_socket_t accepted, Events events);
    /// Starts to connect. The connection is open from on_connected onward.
    MessageConnection(net::Loop& loop, const net::Address& address, Micros connect_timeout, Events events);

    bool is_open() const { return is_open_; }
    /// Queues a message; `from` identifies the sender if the receiver needs that. Returns the message's size
    /// on the wire. 0: it was not sent because the connection was closed, or because too much is unsent,
    /// which closes the connection.
    std::size_t send(const Message& message, std::string_view from = {});
    /// Closes the connection at once and discards unsent bytes. No event follows.
    void close();

    /// The last time at which bytes were received, the connection was established or this object was created.
    Micros last_received_at() const { return last_received_at_; }
    /// The number of queued bytes that the kernel has not accepted yet.
    std::size_t unsent_bytes() const { return connection_.unsent_bytes(); }
    /// During on_message: the size of that message on the wire, including its length prefix.
    std::size_t message_bytes() const { return message_bytes_; }
    /// The number of connections that this process closed because of malformed bytes.
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
