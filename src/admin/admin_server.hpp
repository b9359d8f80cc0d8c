// The HTTP/1.1 server of the admin address, for operators' programs. Each connection has one request. The
// number and the time of connections are bounded, so that a caller that sends nothing, or an incomplete
// request, does not affect other callers or clients.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <vector>

#include "admin/admin_requests.hpp"
#include "log/log.hpp"
#include "net/connection.hpp"
#include "net/listener.hpp"

namespace gannethold::admin {

// Executes admin requests; the dispatcher.
class AdminHandler {
  public:
    AdminHandler() = default;
    AdminHandler(const AdminHandler&) = delete;
    AdminHandler& operator=(const AdminHandler&) = delete;

    // Called from the event loop; must not block.
    virtual AdminResponse on_admin_request(AdminRequest request) = 0;

  protected:
    ~AdminHandler() = default;
};

// Accepts connections at the admin address. At kMaxSessions one is closed for each new one.
class AdminServer {
  public:
    static constexpr std::size_t kMaxSessions = 24;
    static constexpr std::size_t kMaxDescriptors = kMaxSessions + 1;  // with the listening socket

    // Throws std::runtime_error if it cannot listen. REQUIRES: loop, handler and log outlive the server.
    AdminServer(net::Loop& loop, const net::Address& address, AdminHandler& handler, log::Log& log);
    ~AdminServer();
    AdminServer(const AdminServer&) = delete;
    AdminServer& operator=(const AdminServer&) = delete;

    // Frees the sessions that have ended. REQUIRES: called once a turn, after the last callback of the loop.
    void erase_ended_sessions();
    std::size_t session_count() const { return sessions_.size() - ended_sessions_.size(); }
    std::uint16_t port() const { return listener_.port(); }

  private:
    class Session;
    using Sessions = std::list<std::unique_ptr<Session>>;

    void on_accept(evutil_socket_t socket);
    void close_one_session();
    void close(Session& session);

    net::Loop& loop_;
    AdminHandler& handler_;
    log::Log& log_;
    Sessions sessions_;  // the oldest first
    std::vector<Session*> ended_sessions_;
    net::Listener listener_;
};

}  // namespace gannethold::admin
