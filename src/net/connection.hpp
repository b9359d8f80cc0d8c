// One TCP connection on a libevent bufferevent. Tells its owner what happens; decides nothing.
#pragma once

#include <event2/bufferevent.h>

#include <memory>
#include <optional>
#include <string_view>

#include "net/address.hpp"
#include "net/ending.hpp"
#include "net/loop.hpp"

namespace gannethold::net {

class Connection {
  public:
    // An owner may close the connection in any of these, but must keep the object until the turn is over.
    class Owner {
      public:
        virtual void connected() {}
        virtual void bytes(std::string_view bytes) = 0;
        virtual void all_written() {}
        virtual void ended(Ending ending) = 0;

      protected:
        ~Owner() = default;
    };

    Connection(Loop& loop, Owner& owner, evutil_socket_t accepted);
    // A connect that has not come up in time ends as such.
    Connection(Loop& loop, Owner& owner, const Address& to, Micros connect_limit);
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    bool write(std::string_view bytes);  // false once the pool is empty
    void write(Blocks&& bytes);
    bool unsent() const;  // whether bytes are left that the system has not taken
    std::size_t unsent_bytes() const;
    // After the end: how many bytes the system had not taken by then.
    std::size_t unsent_at_end() const { return unsent_at_end_; }
    // Whether the peer has ended it, or said something unasked, that the loop has not come to yet.
    bool stale() const;
    // Ends at once, without a word to the owner.
    void close();
    // Likewise, and the peer meets a reset instead of an end.
    void abort();
    // Writes what is left and says that no more comes; the owner is told when the peer has closed too.
    void finish();

  private:
    void listen_to(evutil_socket_t socket);
    void read_some();
    void event(short what);
    void end(Ending ending);
    void hang_up();

    Loop& loop_;
    Owner& owner_;
    std::unique_ptr<bufferevent, decltype(&bufferevent_free)> stream_{nullptr, &bufferevent_free};
    std::optional<Timer> limit_;
    Ending failure_ = Ending::unreachable;
    std::size_t unsent_at_end_ = 0;
    bool connecting_ = false, finishing_ = false, hung_up_ = false;
};

}  // namespace gannethold::net
