// A TCP connection on a libevent bufferevent. Reports events to its owner and takes no decisions.
#pragma once

#include <event2/bufferevent.h>

#include <memory>
#include <optional>
#include <string_view>

#include "net/address.hpp"
#include "net/close_reason.hpp"
#include "net/loop.hpp"

namespace gannethold::net {

class Connection {
  public:
    // The owner may close the connection in any of these callbacks, but must keep the object alive until the
    // loop iteration is over.
    class Owner {
      public:
        virtual void on_connected() {}
        virtual void on_bytes(std::string_view bytes) = 0;
        virtual void on_all_written() {}
        virtual void on_closed(CloseReason reason) = 0;

      protected:
        ~Owner() = default;
    };

    Connection(Loop& loop, Owner& owner, evutil_socket_t accepted);
    // Connects to `to`; reports connect_timed_out if it is not established within `connect_limit`.
    Connection(Loop& loop, Owner& owner, const Address& to, Micros connect_limit);
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    bool write(std::string_view bytes);  // false: the pool has too few blocks, nothing written
    void write(BlockBuffer&& bytes);
    bool has_unsent_bytes() const;  // not yet taken by the operating system
    std::size_t unsent_bytes() const;
    // After the close: how many bytes the operating system had not taken by then.
    std::size_t unsent_bytes_at_close() const { return unsent_bytes_at_close_; }
    // Whether the peer has closed the connection or sent unsolicited bytes that the loop has not read yet.
    bool is_stale() const;
    // Closes at once, without a callback to the owner.
    void close();
    // Likewise, with a TCP reset.
    void abort();
    // Graceful close: writes what is queued, shuts down the write side, and calls on_closed() when the peer
    // has closed too.
    void finish();

  private:
    void attach(evutil_socket_t socket);
    void on_readable();
    void on_event(short what);
    void close_and_report(CloseReason reason);
    void shut_down_write();

    Loop& loop_;
    Owner& owner_;
    std::unique_ptr<bufferevent, decltype(&bufferevent_free)> stream_{nullptr, &bufferevent_free};
    std::optional<Timer> time_limit_;
    CloseReason connect_failure_ = CloseReason::unreachable;
    std::size_t unsent_bytes_at_close_ = 0;
    bool is_connecting_ = false, is_finishing_ = false, is_write_shut_down_ = false;
};

}  // namespace gannethold::net
