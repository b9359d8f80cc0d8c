// The connections of beanstalkd's protocol: bytes in and out for an Exchange, and a bound on whoever says
// nothing valid.
#pragma once

#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "beanstalk/exchange.hpp"
#include "log/log.hpp"
#include "net/connection.hpp"
#include "net/listener.hpp"

namespace gannethold::beanstalk {

// One address that it listens on, and what the workers who come by it are.
struct Entrance {
    net::Address at;
    std::string kind, zone;
};

// How the front is furnished; from the operators' file.
struct Furnishing {
    std::vector<Entrance> entrances;
    std::size_t connections = 64;  // at once; they come out of what the process may open
    Trade trade;
};

// Who stands behind the exchange but for the connections.
class House {
  public:
    virtual TaskId hand_in(const queue::Job& job, const std::string& tube, const TubePlan& plan,
                           WorkloadId workload) = 0;
    virtual void take_back(TaskId task) = 0;
    virtual RunnerId worker_joins(const Entrance& by, const WorkloadSet& serves, bool cold) = 0;
    virtual void worker_serves(RunnerId worker, const WorkloadSet& serves) = 0;
    virtual void worker_leaves(RunnerId worker) = 0;
    virtual void worker_room(RunnerId worker, double slots) = 0;
    virtual void on_call_ended(runners::CallEnded&& ended) = 0;
    virtual void on_probe_ended(RunnerId worker) = 0;

  protected:
    ~House() = default;
};

class Server final : public Floor {
  public:
    // most: connections at once. The house outlives the server.
    Server(net::Loop& loop, std::vector<Entrance> entrances, std::size_t most, Trade trade,
           Exchange::Places places, House& house, log::Log& log);
    ~Server();

    Exchange& exchange() { return exchange_; }
    const Exchange& exchange() const { return exchange_; }
    std::uint16_t port(std::size_t entrance = 0) const { return doors_[entrance].listener->port(); }
    // What time and the last turn changed; once a turn, before the module settles, and whenever something may
    // have.
    void look();
    // Answers that are owed are written, then all connections end. Against a worker that stays in its reserve
    // for ever.
    void leave();
    bool quiet() const;  // nothing is owed to anybody
    void sweep();

  private:
    class Session;
    struct Door {
        Entrance entrance;
        std::unique_ptr<net::Listener> listener;
    };

    void accept(std::size_t door, evutil_socket_t socket);
    bool make_room();
    void check_stalled();
    void end_soon(SessionId id);

    void say(SessionId to, std::string&& words) override;
    void close(SessionId session) override;
    TaskId hand_in(const queue::Job& job, const std::string& tube, const TubePlan& plan,
                   WorkloadId workload) override {
        return house_.hand_in(job, tube, plan, workload);
    }
    void take_back(TaskId task) override { house_.take_back(task); }
    RunnerId worker_joins(SessionId session, const WorkloadSet& serves, bool cold) override;
    void worker_serves(RunnerId worker, const WorkloadSet& serves) override {
        house_.worker_serves(worker, serves);
    }
    void worker_leaves(RunnerId worker) override { house_.worker_leaves(worker); }
    void worker_room(RunnerId worker, double slots) override { house_.worker_room(worker, slots); }
    void on_call_ended(runners::CallEnded&& ended) override { house_.on_call_ended(std::move(ended)); }
    void on_probe_ended(RunnerId worker) override { house_.on_probe_ended(worker); }

    net::Loop& loop_;
    House& house_;
    log::Log& log_;
    const std::size_t most_, longest_body_;
    std::uint64_t opened_ = 0;
    bool leaving_ = false;
    std::unordered_map<SessionId, std::unique_ptr<Session>> sessions_;
    std::vector<SessionId> ended_, again_,
        doomed_;  // again_: whose bytes can be read on; doomed_: whose answer found no buffer
    Exchange exchange_;
    std::vector<Door> doors_;
    net::Timer wake_, stalled_;
};

}  // namespace gannethold::beanstalk
