// Clients' connections: requests in, answers out.
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

// How much the server may have open, and for how long it sends away who comes beyond that.
struct Room {
    std::size_t sessions = 64, tasks = 64;
    Micros retry_after = 0;
};

// What the dispatcher wants of the front while it drains or leaves.
struct Bearing {
    bool healthy = true;        // what /healthz says, once there is a runner
    bool turns_away = false;    // a request is bounced before it is taken
    bool last_answers = false;  // answers end their connections
};

class Server {
  public:
    Server(net::Loop& loop, const net::ListenAddress& door, const Directory& directory, TaskSink& task_sink,
           Room room, log::Log& log);
    ~Server();

    // Who has connected is served on; who has not yet been let in is another's.
    void stop_accepting() { listener_.stop(); }
    // From now on answers end their connections, and idle ones are closed.
    void leave();
    // From now on. With less room idle connections go until the rest fit, or none is idle.
    void restate(const Room& room);
    void bear(const Bearing& bearing) { bearing_ = bearing; }
    // Closes idle connections, the longest idle first, until no more than that many stand open. One that has
    // yet to hand in its first task is left alone.
    void keep_idle(std::size_t most);
    std::size_t idle() const;
    std::size_t waiting() const { return waiting_; }
    std::size_t busy() const;
    bool leaving() const { return leaving_; }
    void sweep();  // frees what has ended; once a turn, after its last callback
    std::uint16_t port() const { return listener_.port(); }
    std::size_t sessions() const { return sessions_.size(); }

  private:
    friend class Session;
    using Sessions = std::list<std::unique_ptr<Session>>;

    void accept(evutil_socket_t socket);
    void make_room();
    std::size_t live() const { return sessions_.size() - ended_.size(); }
    bool is_full() const;
    void close_stalled();

    net::Loop& loop_;
    const Directory& directory_;
    TaskSink& task_sink_;
    Room room_;
    log::Log& log_;
    std::size_t waiting_ = 0;  // tasks that a client waits for
    bool leaving_ = false;
    Bearing bearing_;
    Sessions sessions_;  // the one that was used longest ago stands first
    std::vector<Session*> ended_;
    net::Listener listener_;
    net::Timer stalled_timer_;
};

// One client's connection. It carries one request at a time.
class Session final : public net::Connection::Owner, public frontend::TaskSource {
  public:
    Session(Server& server, evutil_socket_t socket);

    // The final answer to the task under way; stay_away goes along with a bounce.
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
    std::optional<Request> request_;  // none for a check of health
    TaskId task_{};
    State state_ = State::idle;
    Micros last_byte_at_ = 0;
    Micros started_at_;  // when it connected or, on a kept connection, when the present request began
    bool closes_after_answer_ = false;
    bool has_begun_ = false, has_submitted_ = false;  // a request has begun on it; a task of it was taken
    Server::Sessions::iterator place_;
};

}  // namespace gannethold::clients
