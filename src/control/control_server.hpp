// The server of the control socket: a Unix-domain socket in the file system, for operators. Each message is
// one JSON object on one line.
//
//   request:   {"v":1,"do":"status"}
//   response:  {"v":1,"ok":true,...}   or   {"v":1,"ok":false,"why":"..."}
//
// Only the dispatcher's own user and root may connect, by the peer credentials of the socket. The number of
// clients, the length of a line, the unsent bytes and the time are bounded, so that a slow or silent client
// does not affect others. See docs/control.md.
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

// The request is not permitted or cannot be done. The text is sent to the client.
class Refused : public std::runtime_error {
  public:
    using std::runtime_error::runtime_error;
};

// Executes requests; the dispatcher.
class RequestHandler {
  public:
    // command: the value of "do". by: the name of the client's user. Throws Refused.
    virtual json::Object on_request(const std::string& command, const json::Value& request,
                                    const std::string& by) = 0;

  protected:
    ~RequestHandler() = default;
};

// The settings and limits of the control socket.
struct ControlOptions {
    std::string path;
    std::size_t max_clients = 8;
    std::size_t max_line_bytes = 64 * 1024;
    std::size_t max_unsent_bytes = 1024 * 1024;  // for each client
    // For a line to arrive in full, and for a silent client that does not follow changes.
    Micros line_timeout = 10'000'000;
    std::size_t max_remembered_changes = 1'000;  // for followers that reconnect
};

// Serves the control socket and publishes changes to the clients that follow.
class ControlServer {
  public:
    // Throws std::runtime_error if another process serves on the path or the socket cannot be created. A
    // socket that a dead process left is replaced.
    ControlServer(net::Loop& loop, const ControlOptions& options, RequestHandler& handler, log::Log& log);
    ~ControlServer();
    ControlServer(const ControlServer&) = delete;
    ControlServer& operator=(const ControlServer&) = delete;

    // Sends a change to all followers, and keeps it for those that reconnect.
    void publish(json::Object change);
    // Frees closed sessions; not to be called from their callbacks.
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
