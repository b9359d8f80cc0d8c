// Connections to runners: assignments and probes go out on them, and each is kept for the next.
#pragma once

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "http/reader.hpp"
#include "net/connection.hpp"
#include "runners/transport.hpp"
#include "runners/codec.hpp"

namespace gannethold::runners {

// How connections to runners are made and kept.
struct PoolOptions {
    Micros connect_limit = 1'000'000;
    Micros keep_idle = 0;  // shorter than a runner's own limit
    std::size_t max_connections = 64;
};

class RunnerConnection;

class ConnectionPool final : public Transport {
  public:
    ConnectionPool(net::Loop& loop, TransportObserver& observer, ReportDecoder reports, PoolOptions options);
    ~ConnectionPool();

    // What the roster says. A runner that is not open gets nothing that has not begun to be written.
    void set_endpoint(RunnerId runner, const net::Address& address, bool open, bool restarted = false);
    void assign(RunnerId runner, PendingCall&& call) override;
    void withdraw(TaskId task, int number) override;
    void probe(RunnerId runner) override;
    void limit_deadlines(Micros at) override;
    void close_idle(RunnerId runner) override;
    // For connections made, or kept, from now on. With fewer of them idle ones go until the rest fit.
    void update_options(const PoolOptions& options);
    void erase_ended();
    std::size_t size() const { return connections_.size(); }

  private:
    friend class RunnerConnection;
    struct Endpoint {
        std::optional<net::Address> address;
        bool open = false;
        std::vector<RunnerConnection*> idle;  // the last one used stands last
    };

    RunnerConnection* open_connection(RunnerId runner, Endpoint& endpoint);
    RunnerConnection* acquire(RunnerId runner);  // none: all that may be open is in use
    bool close_an_idle_one();
    void forget_idle(RunnerConnection& connection);

    net::Loop& loop_;
    TransportObserver& observer_;
    const ReportDecoder reports_;
    PoolOptions options_;
    std::map<RunnerId, Endpoint> endpoints_;
    std::map<std::pair<TaskId, int>, RunnerConnection*> in_flight_;
    std::list<std::unique_ptr<RunnerConnection>> connections_;
    std::vector<RunnerConnection*> ended_;
};

// One connection to a runner. It carries one errand or probe at a time.
class RunnerConnection final : public net::Connection::Owner {
  public:
    RunnerConnection(ConnectionPool& pool, RunnerId runner, const net::Address& address);

    void start_call(PendingCall&& call);
    void start_probe();
    void stop(net::CloseReason sent, net::CloseReason unsent);
    void limit_deadline(Micros at);
    RunnerId runner() const { return runner_; }
    const std::string& address() const { return address_; }
    bool is_waiting_to_begin() const { return is_busy() && !has_begun_; }

  private:
    friend class ConnectionPool;
    enum class State { idle, call, probe, finishing, over };

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
    net::BlockBuffer line_;
    net::Timer limit_;  // of what is under way, or of standing idle
    net::Connection connection_;
    std::list<std::unique_ptr<RunnerConnection>>::iterator position_;
};

}  // namespace gannethold::runners
