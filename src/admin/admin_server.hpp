// The second address, at which operators' programs call: HTTP/1.1, one call to a connection. Bounded in
// callers and in time, so that who says nothing, or half a call, costs neither another caller nor a client
// anything.
#pragma once

#include <list>
#include <memory>
#include <optional>
#include <vector>

#include "log/log.hpp"
#include "net/connection.hpp"
#include "net/listener.hpp"
#include "admin/admin_requests.hpp"

namespace gannethold::window {

// Who answers. Called from inside a turn of the loop; must not wait.
class Clerk {
  public:
    virtual Reply heed(Call call) = 0;

  protected:
    ~Clerk() = default;
};

class Window {
  public:
    static constexpr std::size_t kMostCallers = 24;
    static constexpr std::size_t kDescriptors = kMostCallers + 1;  // with its own socket

    // Throws std::runtime_error where it cannot listen there.
    Window(net::Loop& loop, const net::Address& at, Clerk& clerk, log::Log& log);
    ~Window();

    void sweep();  // frees what has ended; once a turn, after its last callback
    std::size_t callers() const { return callers_.size() - ended_.size(); }
    std::uint16_t port() const { return listener_.port(); }

  private:
    class Caller;
    using Callers = std::list<std::unique_ptr<Caller>>;

    void accept(evutil_socket_t socket);
    void make_room();

    net::Loop& loop_;
    Clerk& clerk_;
    log::Log& log_;
    Callers callers_;  // who came first stands first
    std::vector<Caller*> ended_;
    net::Listener listener_;
};

}  // namespace gannethold::window
