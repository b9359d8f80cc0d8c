#include "cluster/transport/message_connection.hpp"

#include "cluster/base/events.hpp"

namespace gannethold::cluster {
namespace {
std::uint64_t malformed_lines = 0;
constexpr std::size_t kFrameHead = 4;  // a message's length, in front of it
}  // namespace

std::uint64_t MessageConnection::malformed() { return malformed_lines; }

MessageConnection::MessageConnection(net::Loop& loop, evutil_socket_t accepted, Events events)
    : events_(std::move(events)),
      open_(true),
      heard_(net::Loop::now()),
      connection_(new net::Connection(loop, *this, accepted)) {}

MessageConnection::MessageConnection(net::Loop& loop, const net::Address& to, Micros connect_limit,
                                     Events events)
    : events_(std::move(events)),
      heard_(net::Loop::now()),
      connection_(new net::Connection(loop, *this, to, connect_limit)) {}

std::size_t MessageConnection::send(const Message& message, std::string_view from) {
    if (closed_) return 0;
    const std::string bytes = encode(message, from);
    if (connection_->write(bytes)) return bytes.size();
    // A pool that is empty is a peer that does not read: what was not said is said again by whoever needs it.
    close();
    events_.ended();
    return 0;
}

void MessageConnection::close() {
    closed_ = true;
    open_ = false;
    connection_->close();
}

void MessageConnection::connected() {
    open_ = true;
    heard_ = net::Loop::now();
    events_.up();
}

void MessageConnection::bytes(std::string_view bytes) {
    heard_ = net::Loop::now();
    frames_.add(bytes);
    while (!closed_) {
        bool more = false;
        leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_AUTO(frame, frames_.next());
                if (!frame) return {};
                message_bytes_ = kFrameHead + frame->size();
                BOOST_LEAF_AUTO(message_received, decode(*frame));
                more = true;
                events_.message_received(message_received);
                return {};
            },
            [&](ErrorCode code, const ErrorDetail& detail) {
                ++malformed_lines;
                Event("line_closed", Level::warning)
                    .with("error", error_response(code).name)
                    .with("detail", detail.text);
                close();
                events_.ended();
            },
            [&] {
                close();
                events_.ended();
            });
        if (!more) return;
    }
}

void MessageConnection::ended(net::Ending) {
    if (closed_) return;
    closed_ = true;
    open_ = false;
    events_.ended();
}

}  // namespace gannethold::cluster
