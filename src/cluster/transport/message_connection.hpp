// One TCP connection between two of the system's own processes, in messages. Bytes that are no message end
// it.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "net/connection.hpp"
#include "cluster/wire/codec.hpp"
#include "cluster/wire/frames.hpp"

namespace gannethold::cluster {

class MessageConnection final : net::Connection::Owner {
  public:
    struct Events {
        std::function<void()> up = [] {};
        std::function<void(const ReceivedMessage&)> message_received;
        std::function<void()> ended;  // by the peer or a fault; not after close()
    };
    MessageConnection(net::Loop& loop, evutil_socket_t accepted, Events events);
    MessageConnection(net::Loop& loop, const net::Address& to, Micros connect_limit, Events events);

    bool open() const { return open_; }
    // Returns the bytes that it takes on the wire; 0: it could not be sent.
    std::size_t send(const Message& message, std::string_view from = {});
    // Of the message that is being told, its length in front included.
    std::size_t message_bytes() const { return message_bytes_; }
    void close();
    Micros heard() const { return heard_; }
    static std::uint64_t
    malformed();  // lines of this process that were closed for bytes that were no message
    std::size_t unsent() const { return connection_ ? connection_->unsent_bytes() : 0; }

  private:
    void connected() override;
    void bytes(std::string_view bytes) override;
    void ended(net::Ending) override;

    Events events_;
    FrameReader frames_;
    bool open_ = false, closed_ = false;
    Micros heard_ = 0;
    std::size_t message_bytes_ = 0;
    std::unique_ptr<net::Connection> connection_;
};

}  // namespace gannethold::cluster
