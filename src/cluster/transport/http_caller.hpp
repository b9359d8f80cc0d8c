// Calls over HTTP/1.1 with kept connections, one call at a time on each. Every way in which a call can end is
// told apart by whether it may have been carried out.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "net/connection.hpp"
#include "cluster/transport/http_message.hpp"

namespace gannethold::cluster {

enum class CallEnd {
    answered,
    unreachable,  // no connection came up: nothing was sent
    unsent,       // the connection ended before the system took the whole head: not carried out
    broken,       // it ended after that without a whole answer: may have been carried out, also where
                  // not all of the body was taken
    malformed,    // what came is no answer, or another's: may have been carried out
};

class HttpCaller {
  public:
    using Call = std::uint64_t;
    struct Events {
        // fresh: the first answer on its connection.
        std::function<void(Call, CallEnd, HttpMessage&&, bool fresh)> ended;
        std::function<void(const std::string& address)> connected = [](const std::string&) {
        };  // by preconnect()
        std::function<void(const std::string& address)> refused = [](const std::string&) {};
    };
    struct Options {
        Micros connect_limit = 600'000;
        Micros keep = 8'000'000;             // an idle connection, unless the peer states less
        std::size_t most_idle = 4;           // for each address
        std::size_t most_answer = 16 << 20;  // bytes
        std::string
            id_field;  // an answer whose field is another than the request's is another's: passed over
    };
    HttpCaller(net::Loop& loop, Options terms, Events events);
    HttpCaller(const HttpCaller&) = delete;
    HttpCaller& operator=(const HttpCaller&) = delete;
    ~HttpCaller();

    /// Begins a call; it ends with one event, not before this returns. A request that may already have come
    /// to this address under the same id wants a new connection: on the old one an answer too many to the
    /// earlier sending would be taken for the answer to this one.
    void call(Call call, const std::string& address, const HttpMessage& request,
              bool on_new_connection = false);
    void abandon(Call call);  // no event; the connection is closed
    // Opens a connection and keeps it for the next call there.
    void preconnect(const std::string& address);
    void forget(const std::string& address);  // idle connections there are closed
    void sweep(Micros now);

  private:
    class Link;
    friend class Link;
    Link* take_idle(const std::string& address);
    void keep(Link* link);
    void end_later(Call call, CallEnd how);
    void tell_ends();

    net::Loop& loop_;
    Options options_;
    Events events_;
    std::unordered_map<Link*, std::unique_ptr<Link>> links_;
    std::vector<std::unique_ptr<Link>> closed_;
    std::unordered_map<Call, Link*> calls_;
    std::unordered_map<std::string, std::list<Link*>> idle_;
    std::vector<std::pair<Call, CallEnd>> ends_;  // of calls that failed as they were made, to be told
    net::Timer ends_due_;
};

}  // namespace gannethold::cluster
