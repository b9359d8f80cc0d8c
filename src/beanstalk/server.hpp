// TCP server for the beanstalkd protocol. Connects client connections to a TubeBroker, and closes connections
// that send no valid command in time.
#pragma once

#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "beanstalk/tube_broker.hpp"
#include "log/log.hpp"
#include "net/connection.hpp"
#include "net/listener.hpp"

namespace gannethold::beanstalk {

// An address that the server listens on, and the kind and zone of the workers that connect to it.
struct ListenerSettings {
    net::Address address;
    std::string kind, zone;
};

// Settings of the beanstalk front, from the operators' settings file.
struct ServerSettings {
    std::vector<ListenerSettings> listeners;
    std::size_t max_connections = 64;  // simultaneous; part of the process's socket limit
    BrokerSettings broker;
};

// What the server needs from the dispatcher: task submission, and membership of the workers.
class ServerCallbacks {
  public:
    virtual TaskId submit_task(const queue::Job& job, const std::string& tube, const TubePlan& plan,
                               WorkloadId workload) = 0;
    virtual void cancel_task(TaskId task) = 0;
    virtual RunnerId add_worker(const ListenerSettings& listener, const WorkloadSet& serves, bool cold) = 0;
    virtual void set_worker_workloads(RunnerId worker, const WorkloadSet& serves) = 0;
    virtual void remove_worker(RunnerId worker) = 0;
    virtual void set_worker_slots(RunnerId worker, double slots) = 0;
    virtual void on_call_ended(runners::CallEnded&& ended) = 0;
    virtual void on_probe_ended(RunnerId worker) = 0;

  protected:
    ~ServerCallbacks() = default;
};

// Owns the listeners, the connections and the broker.
class Server final : public BrokerCallbacks {
  public:
    // `callbacks` must outlive the server.
    Server(net::Loop& loop, std::vector<ListenerSettings> listeners, std::size_t max_connections,
           BrokerSettings settings, TubeBroker::TubeMapping mapping, ServerCallbacks& callbacks,
           log::Log& log);
    ~Server();

    TubeBroker& broker() { return broker_; }
    const TubeBroker& broker() const { return broker_; }
    std::uint16_t port(std::size_t listener = 0) const { return listeners_[listener].listener->port(); }
    // Processes deferred input, deferred closes and expired timers. To be called once per loop turn before
    // the balancer's actions are collected, and whenever the broker's state may have changed.
    void update();
    // Starts a graceful shutdown: pending replies are written, then all connections are closed, including
    // those of workers that wait in a reserve without a timeout.
    void shut_down();
    bool is_idle() const;  // no job is reserved and no reply is unsent
    void destroy_closed_sessions();

  private:
    class Session;
    struct OpenListener {
        ListenerSettings settings;
        std::unique_ptr<net::Listener> listener;
    };

    void accept(std::size_t listener_index, evutil_socket_t socket);
    bool evict_silent_session();
    void close_stalled();
    void close_later(SessionId id);

    void send(SessionId session, std::string&& reply) override;
    void close(SessionId session) override;
    TaskId submit_task(const queue::Job& job, const std::string& tube, const TubePlan& plan,
                       WorkloadId workload) override {
        return callbacks_.submit_task(job, tube, plan, workload);
    }
    void cancel_task(TaskId task) override { callbacks_.cancel_task(task); }
    RunnerId add_worker(SessionId session, const WorkloadSet& serves, bool cold) override;
    void set_worker_workloads(RunnerId worker, const WorkloadSet& serves) override {
        callbacks_.set_worker_workloads(worker, serves);
    }
    void remove_worker(RunnerId worker) override { callbacks_.remove_worker(worker); }
    void set_worker_slots(RunnerId worker, double slots) override {
        callbacks_.set_worker_slots(worker, slots);
    }
    void on_call_ended(runners::CallEnded&& ended) override { callbacks_.on_call_ended(std::move(ended)); }
    void on_probe_ended(RunnerId worker) override { callbacks_.on_probe_ended(worker); }

    net::Loop& loop_;
    ServerCallbacks& callbacks_;
    log::Log& log_;
    const std::size_t max_connections_, max_body_bytes_;
    std::uint64_t last_session_id_ = 0;
    bool is_shutting_down_ = false;
    std::unordered_map<SessionId, std::unique_ptr<Session>> sessions_;
    // to_process_: sessions with buffered input that may be processed now. to_close_: sessions whose reply
    // could not be buffered.
    std::vector<SessionId> closed_, to_process_, to_close_;
    TubeBroker broker_;
    std::vector<OpenListener> listeners_;
    net::Timer update_timer_, stall_timer_;
};

}  // namespace gannethold::beanstalk
