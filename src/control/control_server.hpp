// An operator's way in: a Unix-domain socket in the file system, one JSON object a line each way.
//
//   request:     {"v":1,"do":"status"}
//   answered:  {"v":1,"ok":true,...}   or   {"v":1,"ok":false,"why":"..."}
//
// Who may: whoever the system says runs as the dispatcher's own user, or as root. Bounded in clients, in what
// a line holds, in what waits to be read and in time, so that a slow or silent reader costs nobody else
// anything. docs/control.md is the page on it.
#pragma once

#include <event2/event.h>
#include <event2/listener.h>

#include <cstdint>
#include <deque>
#include <list>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>

#include "json/json.hpp"
#include "log/log.hpp"
#include "net/loop.hpp"

namespace gannethold::control {

inline constexpr int kVersion = 1;

// Who may not, or what cannot be done: the text goes to the asker.
class Refused : public std::runtime_error {
  public:
    using std::runtime_error::runtime_error;
};

// Who answers. A request is an object; what is request for stands in "do". Throws Refused.
class RequestHandler {
  public:
    virtual json::Object on_request(const std::string& command, const json::Value& request,
                                    const std::string& by) = 0;

  protected:
    ~RequestHandler() = default;
};

// What a desk is furnished with.
struct ControlOptions {
    std::string path;
    std::size_t max_clients = 8;
    std::size_t max_line_bytes = 64 * 1024;
    std::size_t max_unsent_bytes = 1024 * 1024;  // bytes that wait for one client to read them
    Micros line_timeout =
        10'000'000;  // for a line to come whole, and for a silent client that follows nothing
    std::size_t max_remembered_changes = 1'000;  // changes, for a follower that comes back
};

class ControlServer {
  public:
    // Throws std::runtime_error where another process serves on that path or it cannot be made. A file left
    // by a dead process is taken over.
    ControlServer(net::Loop& loop, const ControlOptions& options, RequestHandler& handler, log::Log& log);
    ~ControlServer();
    ControlServer(const ControlServer&) = delete;
    ControlServer& operator=(const ControlServer&) = delete;

    // Goes to all who follow, and is remembered for those who come back.
    void publish(json::Object change);
    void erase_ended();
    std::size_t client_count() const { return sessions_.size(); }
    std::uint64_t published() const { return published_; }

  private:
    class Session;
    void accept(evutil_socket_t socket);

    net::Loop& loop_;
    const ControlOptions options_;
    RequestHandler& handler_;
    log::Log& log_;
    std::list<std::unique_ptr<Session>> sessions_;
    std::deque<std::pair<std::uint64_t, std::string>> changes_;
    std::uint64_t published_ = 0;
    std::unique_ptr<evconnlistener, decltype(&evconnlistener_free)> listener_{nullptr, &evconnlistener_free};
};

}  // namespace gannethold::control
