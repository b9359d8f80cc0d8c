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
    std::size_t most_links = 64;
};

class RunnerConnection;

class ConnectionPool final : public Transport {
  public:
    ConnectionPool(net::Loop& loop, TransportObserver& sender, ReportDecoder reports, PoolOptions upkeep);
    ~ConnectionPool();

    // What the roster says. A runner that is not open gets nothing that has not begun to be written.
    void seat(RunnerId runner, const net::Address& address, bool open, bool restarted = false);
    void assign(RunnerId runner, PendingCall&& errand) override;
    void withdraw(TaskId task, int number) override;
    void probe(RunnerId runner) override;
    void stop_all_by(Micros at) override;
    void close_idle(RunnerId runner) override;
    // For connections made, or kept, from now on. With fewer of them idle ones go until the rest fit.
    void restate(const PoolOptions& upkeep);
    void sweep();
    std::size_t size() const { return links_.size(); }

  private:
    friend class RunnerConnection;
    struct Endpoint {
        std::optional<net::Address> address;
        bool open = false;
        std::vector<RunnerConnection*> idle;  // the last one used stands last
    };

    RunnerConnection* open_link(RunnerId runner, Endpoint& place);
    RunnerConnection* idle_or_new(RunnerId runner);  // none: all that may be open is in use
    bool close_an_idle_one();
    void forget_idle(RunnerConnection& link);

    net::Loop& loop_;
    TransportObserver& sender_;
    const ReportDecoder reports_;
    PoolOptions upkeep_;
    std::map<RunnerId, Endpoint> places_;
    std::map<std::pair<TaskId, int>, RunnerConnection*> out_;
    std::list<std::unique_ptr<RunnerConnection>> links_;
    std::vector<RunnerConnection*> ended_;
};

// One connection to a runner. It carries one errand or probe at a time.
class RunnerConnection final : public net::Connection::Owner {
  public:
    RunnerConnection(ConnectionPool& links, RunnerId runner, const net::Address& address);

    void carry(PendingCall&& errand);
    void carry_probe();
    void stop(net::CloseReason sent, net::CloseReason unsent);
    void stop_by(Micros at);
    RunnerId runner() const { return runner_; }
    const std::string& address() const { return address_; }
    bool waits_to_begin() const { return busy() && !begun_; }

  private:
    friend class ConnectionPool;
    enum class State { idle, errand, probe, finishing, over };

    bool busy() const { return state_ == State::errand || state_ == State::probe; }
    void on_connected() override;
    void on_all_written() override;
    void on_bytes(std::string_view bytes) override;
    void on_closed(net::CloseReason ending) override;
    void begin();
    bool heed_head();
    bool heed_piece();
    bool heed_line(std::string_view text);
    void heed_end();
    void settle(net::CloseReason ending, Report&& report = {}, std::string&& result = {});
    void close();
    void keep();
    net::CloseReason by_status() const;

    ConnectionPool& links_;
    const RunnerId runner_;
    const std::string address_;
    State state_ = State::idle;
    PendingCall errand_;
    Micros since_ = 0;
    bool up_ = false, begun_ = false, used_ = false, answered_ = false, told_written_ = false;
    Report report_;
    http::Reader reader_;
    net::BlockBuffer line_;
    net::Timer limit_;  // of what is under way, or of standing idle
    net::Connection connection_;
    std::list<std::unique_ptr<RunnerConnection>>::iterator place_;
};

}  // namespace gannethold::runners
