// The HTTP server for clients: receives requests, submits them as tasks and sends the answers.
#pragma once

#include <list>
#include <memory>
#include <optional>
#include <vector>

#include "clients/request.hpp"
#include "log/log.hpp"
#include "net/connection.hpp"
#include "net/listener.hpp"

namespace gannethold::clients {

class Session;

using frontend::Answer;
using frontend::TaskSink;

// The maximum numbers of connections and of tasks in flight, and the Retry-After of requests rejected beyond
// them.
struct ServerLimits {
    std::size_t sessions = 64, tasks = 64;
    Micros retry_after = 0;
};

// How the server behaves while the dispatcher drains or shuts down.
struct DrainBehavior {
    bool is_healthy = true;            // the state at /healthz, once there is a runner
    bool rejects_new_tasks = false;    // requests are bounced before they are submitted
    bool closes_after_answer = false;  // each answer closes its connection
};

// Accepts clients' connections and tracks them. Within the limits, idle connections are kept open.
class Server {
  public:
    Server(net::Loop& loop, const net::ListenAddress& address, const Directory& directory,
           TaskSink& task_sink, ServerLimits limits, log::Log& log);
    ~Server();

    // Accepted connections are still served; those in the backlog are left to the successor.
    void stop_accepting() { listener_.stop(); }
    // From now on answers close their connections; idle connections are closed now.
    void begin_shutdown();
    // Applies from now on. Beyond lower limits idle connections are closed, until the rest fit or none is
    // idle.
    void update_limits(const ServerLimits& limits);
    void set_drain_behavior(const DrainBehavior& behavior) { drain_behavior_ = behavior; }
    // Closes idle connections, the longest idle first, until at most that many are open. A connection that
    // has not yet submitted a task is not counted and not closed.
    void close_idle_beyond(std::size_t max_idle);
    std::size_t idle_count() const;
    std::size_t waiting_count() const { return waiting_; }
    std::size_t busy_count() const;
    bool is_shutting_down() const { return is_shutting_down_; }
    void erase_ended();  // frees closed sessions; once a turn of the loop, after its last callback
    std::uint16_t port() const { return listener_.port(); }
    std::size_t sessions() const { return sessions_.size(); }

  private:
    friend class Session;
    using Sessions = std::list<std::unique_ptr<Session>>;

    void accept(evutil_socket_t socket);
    void close_one_session();
    std::size_t open_count() const { return sessions_.size() - ended_.size(); }
    bool is_full() const;
    void close_stalled();

    net::Loop& loop_;
    const Directory& directory_;
    TaskSink& task_sink_;
    ServerLimits limits_;
    log::Log& log_;
    std::size_t waiting_ = 0;  // tasks that a client waits for
    bool is_shutting_down_ = false;
    DrainBehavior drain_behavior_;
    Sessions sessions_;  // the least recently used first
    std::vector<Session*> ended_;
    net::Listener listener_;
    net::Timer stalled_timer_;
};

// One client's connection. It carries one request at a time.
class Session final : public net::Connection::Owner, public frontend::TaskSource {
  public:
    Session(Server& server, evutil_socket_t socket);

    // The final answer to the task in flight. A bounce states retry_after.
    void on_answer(TaskId task, Answer answer, std::string_view result, Micros retry_after) override;

  private:
    friend class Server;
    enum class State { idle, reading, waiting, closing, over };

    void on_bytes(std::string_view bytes) override;
    void on_closed(net::CloseReason ending) override;
    bool on_head();
    void on_request_end();
    void respond(int status, std::string_view body, Micros retry_after = 0);
    void refuse(int status, std::string_view why);
    void reject(std::string_view why);
    void begin();
    void set_waiting(bool waits);
    void touch();

    Server& server_;
    net::Connection connection_;
    http::Reader reader_;
    net::BlockBuffer body_;
    std::optional<Request> request_;  // none: a health check
    TaskId task_{};
    State state_ = State::idle;
    Micros last_byte_at_ = 0;
    Micros started_at_;  // the connect or, on a reused connection, the first byte of the request
    bool closes_after_answer_ = false;
    bool has_begun_ = false, has_submitted_ = false;  // a request began; a task was submitted
    Server::Sessions::iterator position_;
};

}  // namespace gannethold::clients
