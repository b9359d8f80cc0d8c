#include "cluster/transport/message_connection.hpp"

#include "cluster/base/events.hpp"

namespace gannethold::cluster {
namespace {

constexpr std::size_t kLengthPrefixBytes = 4;

std::uint64_t malformed_connection_count = 0;

}  // namespace

std::uint64_t MessageConnection::malformed_connections() { return malformed_connection_count; }

MessageConnection::MessageConnection(net::Loop& loop, evutil_socket_t accepted, Events events)
    : events_(std::move(events)),
      is_open_(true),
      last_received_at_(net::Loop::now()),
      connection_(loop, *this, accepted) {}

MessageConnection::MessageConnection(net::Loop& loop, const net::Address& address, Micros connect_timeout,
                                     Events events)
    : events_(std::move(events)),
      last_received_at_(net::Loop::now()),
      connection_(loop, *this, address, connect_timeout) {}

std::size_t MessageConnection::send(const Message& message, std::string_view from) {
    if (is_closed_) return 0;
    const std::string bytes = encode(message, from);
    if (connection_.write(bytes)) return bytes.size();
    // The pool of blocks is exhausted, because the peer does not read. The sender's protocol repeats messages
    // that are still needed.
    disconnect();
    return 0;
}

void MessageConnection::close() {
    is_closed_ = true;
    is_open_ = false;
    connection_.close();
}

void MessageConnection::disconnect() {
    close();
    events_.on_disconnected();
}

void MessageConnection::on_connected() {
    is_open_ = true;
    last_received_at_ = net::Loop::now();
    events_.on_connected();
}

void MessageConnection::on_bytes(std::string_view bytes) {
    last_received_at_ = net::Loop::now();
    frames_.add(bytes);
    bool more = true;
    while (more && !is_closed_)
        more = leaf::try_handle_all([this] { return receive_next(); },
                                    [this](ErrorCode error, const ErrorDetail& detail) {
                                        ++malformed_connection_count;
                                        Event("malformed_message_received", Level::warning)
                                            .with("error", error_response(error).name)
                                            .with("detail", detail.text);
                                        disconnect();
                                        return false;
                                    },
                                    [this] {
                                        disconnect();
                                        return false;
                                    });
}

// Delivers the next complete message; returns false if none has been received yet.
leaf::result<bool> MessageConnection::receive_next() {
    BOOST_LEAF_AUTO(frame, frames_.next());
    if (!frame) return false;
    message_bytes_ = kLengthPrefixBytes + frame->size();
    BOOST_LEAF_AUTO(message, decode(*frame));
    events_.on_message(message);
    return true;
}

void MessageConnection::on_closed(net::CloseReason) {
    if (is_closed_) return;
    is_closed_ = true;
    is_open_ = false;
    events_.on_disconnected();
}

}  // namespace gannethold::cluster
