// Connections to runners. Assignments and probes are sent on them; a connection is kept for the next one
// after its response.
#pragma once

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "http/reader.hpp"
#include "net/connection.hpp"
#include "runners/codec.hpp"
#include "runners/transport.hpp"

namespace gannethold::runners {

// How connections to runners are made and kept.
struct PoolOptions {
    Micros connect_timeout = 1'000'000;
    Micros idle_timeout = 0;  // must be shorter than the runner's own
    std::size_t max_connections = 64;
};

class RunnerConnection;

// Keeps idle connections for each runner and reuses the most recent one.
class ConnectionPool final : public Transport {
  public:
    ConnectionPool(net::Loop& loop, TransportObserver& observer, ReportDecoder reports, PoolOptions options);
    ~ConnectionPool();

    // Sets where a runner is, from the membership. While a runner is not open, no request to it is started.
    void set_endpoint(RunnerId runner, const net::Address& address, bool open, bool restarted = false);
    void assign(RunnerId runner, PendingCall&& call) override;
    void withdraw(TaskId task, int number) override;
    void probe(RunnerId runner) override;
    void limit_deadlines(Micros latest) override;
    void close_idle(RunnerId runner) override;
    // Applies to connections opened or returned from now on. Closes idle connections beyond a lower maximum.
    void update_options(const PoolOptions& options);
    // Frees closed connections; not to be called from their callbacks.
    void erase_ended();
    std::size_t size() const { return connections_.size(); }

  private:
    friend class RunnerConnection;
    struct Endpoint {
        std::optional<net::Address> address;
        bool open = false;
        std::vector<RunnerConnection*> idle;  // the most recently used is last
    };

    RunnerConnection* open_connection(RunnerId runner, Endpoint& endpoint);
    RunnerConnection* acquire(RunnerId runner);  // nullptr: all connections are in use
    bool close_one_idle();
    void remove_idle(RunnerConnection& connection);

    net::Loop& loop_;
    TransportObserver& observer_;
    const ReportDecoder reports_;
    PoolOptions options_;
    std::map<RunnerId, Endpoint> endpoints_;
    std::map<std::pair<TaskId, int>, RunnerConnection*> in_flight_;
    std::list<std::unique_ptr<RunnerConnection>> connections_;
    std::vector<RunnerConnection*> ended_;
};

// One connection to a runner. It carries one call or probe at a time.
class RunnerConnection final : public net::Connection::Owner {
  public:
    RunnerConnection(ConnectionPool& pool, RunnerId runner, const net::Address& address);

    void start_call(PendingCall&& call);
    void start_probe();
    void stop(net::CloseReason sent, net::CloseReason unsent);
    void limit_deadline(Micros latest);
    RunnerId runner() const { return runner_; }
    const std::string& address() const { return address_; }
    bool is_waiting_to_begin() const { return is_busy() && !has_begun_; }

  private:
    friend class ConnectionPool;
    enum class State { idle, call, probe, finishing, closed };

    bool is_busy() const { return state_ == State::call || state_ == State::probe; }
    void on_connected() override;
    void on_all_written() override;
    void on_bytes(std::string_view bytes) override;
    void on_closed(net::CloseReason ending) override;
    void begin();
    bool on_head();
    bool on_body_piece();
    bool on_line(std::string_view text);
    void on_answer_end();
    void complete(net::CloseReason ending, Report&& report = {}, std::string&& result = {});
    void close();
    void return_to_pool();
    net::CloseReason reason_by_status() const;

    ConnectionPool& pool_;
    const RunnerId runner_;
    const std::string address_;
    State state_ = State::idle;
    PendingCall call_;
    Micros started_at_ = 0;
    bool is_connected_ = false, has_begun_ = false, is_reused_ = false, has_answered_ = false,
         has_reported_written_ = false;
    Report report_;
    http::Reader reader_;
    net::BlockBuffer body_;
    net::Timer timeout_;  // of the call or probe, or of the idle time
    net::Connection connection_;
    std::list<std::unique_ptr<RunnerConnection>>::iterator position_;
};

}  // namespace gannethold::runners
