// Executes the commands of beanstalk producers and workers on tubes and jobs, and tracks each job to its end.
// Does no I/O and reads no clock: replies and requests go out through BrokerCallbacks, and the caller passes
// the time in microseconds.
//
// The broker does not decide which worker gets which job. A worker that reserves reports free capacity; the
// broker submits jobs to the balancer as tasks, at most as many as there are waiting workers, and the
// balancer assigns each task to a worker. How a job can end at a worker:
//   delete               finished
//   release              returned without having run; the job is queued again with the worker's priority and
//   delay bury                 the job is set aside until it is kicked; a task from HTTP has failed time to
//   run is over  may have run: the balancer decides between a retry and giving up connection lost      may
//   have run, as above
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "beanstalk/command_parser.hpp"
#include "frontend/task_sink.hpp"
#include "queue/job_queue.hpp"
#include "runners/transport.hpp"
#include "types.hpp"

namespace gannethold::beanstalk {

enum class SessionId : std::uint64_t {};

// How the jobs of a tube are handled. A plan without a name applies to all tubes that are not configured.
struct TubePlan {
    std::string name;
    std::string workload;  // shared with the other fronts; empty: the tube has its own
    std::string effect = "side-effecting";
    Micros due_time = 60'000'000, expiry = 3'600'000'000;
    double importance = 1;
    std::size_t max_pushed = 0;  // jobs in flight to runners over HTTP; 0: only beanstalk workers get jobs
    bool is_idempotent() const { return effect == "idempotent"; }
};

// Settings of the broker, from the operators' settings file.
struct BrokerSettings {
    std::vector<TubePlan> tubes;       // the configured tubes
    TubePlan default_plan;             // for all other tubes
    std::size_t max_other_tubes = 16;  // simultaneous; each has its own workload
    std::size_t max_body_bytes = 65'535;
    queue::QueueLimits queue_limits;
    Micros deadline_margin = 1'000'000;  // before a held job's deadline; reserves are refused
    Micros min_time_to_run = 1'000'000;
    bool workers_start_cold = true;  // whether slow start applies to a new worker
};

// What the broker needs from the rest of the program.
class BrokerCallbacks {
  public:
    virtual void send(SessionId session, std::string&& reply) = 0;
    virtual void close(SessionId session) = 0;
    // Submits a job as a task whose TaskSource is the broker. TaskId{}: not accepted.
    virtual TaskId submit_task(const queue::Job& job, const std::string& tube, const TubePlan& plan,
                               WorkloadId workload) = 0;
    virtual void cancel_task(TaskId task) = 0;  // its result is no longer needed
    virtual RunnerId add_worker(SessionId session, const WorkloadSet& serves, bool cold) = 0;
    virtual void set_worker_workloads(RunnerId worker, const WorkloadSet& serves) = 0;
    virtual void remove_worker(RunnerId worker) = 0;
    virtual void set_worker_slots(RunnerId worker, double slots) = 0;  // held jobs plus pending reserves
    virtual void on_call_ended(runners::CallEnded&& ended) = 0;
    virtual void on_probe_ended(RunnerId worker) = 0;

  protected:
    ~BrokerCallbacks() = default;
};

// Holds the tubes, the jobs and the sessions.
class TubeBroker final : public frontend::TaskSource, public runners::Transport {
  public:
    // The workload of each tube. Those in `unassigned` are assigned to other tubes as they are created.
    struct TubeMapping {
        std::map<std::string, WorkloadId> by_name;
        std::vector<WorkloadId> unassigned;
        std::map<std::string, WorkloadId> by_effect;  // for jobs that a worker reserves by id
    };
    TubeBroker(BrokerSettings settings, TubeMapping mapping, BrokerCallbacks& callbacks);

    void on_session_opened(Micros now, SessionId session);
    void on_command(Micros now, SessionId session, ParseResult result, Command&& command);
    void on_session_closed(Micros now, SessionId session);
    // Whether the session waits in a reserve: it need not send anything, and its input is not processed.
    bool is_waiting(SessionId session) const;
    bool has_sent_command(SessionId session) const;  // a valid one
    // Processes everything that is due. Returns the time of the next change; 0: none is scheduled.
    Micros advance(Micros now);

    // While enabled, `put` is refused. Queued jobs are kept, and workers may finish the jobs that they hold.
    void set_rejects_puts(bool enabled) { rejects_puts_ = enabled; }
    void set_dispatches_jobs(bool enabled);  // whether waiting workers get jobs
    // Lets a buried job run again on an operator's request, even if it may have run. False: no such buried
    // job.
    bool kick_may_have_run(std::uint64_t id);

    // Reports a worker's capacity again: the balancer forgets it while the worker is draining or gone.
    void resend_capacity(RunnerId worker) const;
    // A job's task was assigned to a runner over HTTP: from now on it counts as reserved.
    void on_task_pushed(TaskId task);

    std::size_t tasks_in_flight() const { return held_.size(); }
    std::size_t queued_jobs() const { return queue_.size(); }
    std::size_t session_count() const { return sessions_.size(); }
    const queue::JobQueue& queue() const { return queue_; }

    // ---- TaskSource: the result of a job's task ----
    void on_answer(TaskId task, frontend::Answer answer, std::string_view result,
                   Micros retry_after) override;
    // ---- Transport: assignments of the balancer to workers ----
    void assign(RunnerId runner, runners::PendingCall&& errand) override;
    void withdraw(TaskId task, int number) override;
    void probe(RunnerId runner) override { callbacks_.on_probe_ended(runner); }
    void close_idle(RunnerId) override {}
    void limit_deadlines(Micros at) override;

  private:
    // A job that a worker has reserved.
    struct HeldJob {
        SessionId session_id{};
        runners::PendingCall errand;
        RunnerId worker{};
        Micros since = 0, time_to_run = 0, deadline = 0;
        bool from_queue = false;  // false: submitted by another front
    };
    // The workers that watch the same set of tubes.
    struct Group {
        std::vector<queue::TubeId> tubes;
        std::size_t members = 0, waiting = 0;
        std::vector<queue::JobId> submitted;  // as tasks, for the waiting members
    };
    struct Session {
        SessionId id{};
        queue::TubeId used{};
        std::vector<queue::TubeId> watched;
        Group* group = nullptr;
        std::size_t held_jobs = 0;
        RunnerId worker{};
        Micros wait_until = 0;          // 0: no timeout
        queue::JobId requested_job{};   // by reserve-job
        queue::State requested_from{};  // the state of that job before
        bool is_worker = false, waiting = false, is_producer = false, has_sent_command = false;
    };
    struct TubeState {
        WorkloadId workload{};
        const TubePlan* plan = nullptr;
        std::size_t pushed = 0;
        bool owns_workload = false;
    };

    void execute(Micros now, Session& session, Command&& command);
    void put(Micros now, Session& session, Command&& command);
    void reserve(Micros now, Session& session, Micros until);
    void reserve_job(Micros now, Session& session, queue::JobId id);
    void cancel_job_request(Session& session);
    void remove(Micros now, Session& session, queue::JobId id);
    void release(Micros now, Session& session, const Command& command);
    void bury(Micros now, Session& session, const Command& command);
    void touch(Micros now, Session& session, queue::JobId id);
    void watch(Session& session, const std::string& name);
    void ignore(Session& session, const std::string& name);
    void peek(Session& session, const queue::Job* job);
    void kick(Session& session, std::size_t max_jobs);
    bool kick_job(queue::Job& job, bool by_operator);
    void pause(Micros now, Session& session, const Command& command);
    void reply_stats(Micros now, Session& session);
    void reply_stats_job(Micros now, Session& session, queue::JobId id);
    void reply_stats_tube(Micros now, Session& session, const std::string& name);

    void reply(const Session& session, std::string&& text) { callbacks_.send(session.id, std::move(text)); }
    std::optional<queue::TubeId> find_or_create_tube(const std::string& name);
    void release_tube(queue::TubeId tube);
    TubeState& tube_state(queue::TubeId tube) { return tube_states_[static_cast<std::size_t>(tube)]; }
    void update_group(Session& session);
    WorkloadSet served_workloads(const Session& session) const;
    void set_waiting(Session& session, bool is_waiting);
    void report_capacity(const Session& session) const;
    void mark_changed(queue::TubeId tube);
    void fill_group(Group& group);
    void process_changes();
    bool submit(queue::Job& job, Group* group);
    void submit_pushed(queue::TubeId tube);
    void forget_submitted(queue::JobId job);
    void requeue(queue::JobId job);
    // A job and a session that holds it; two sessions may hold a copy of an idempotent job.
    using HeldKey = std::pair<queue::JobId, SessionId>;
    using HeldJobs = std::map<HeldKey, HeldJob>;
    void end_held(HeldJobs::iterator entry, net::CloseReason ending);
    void set_deadline(HeldJobs::iterator entry, Micros deadline);
    void remove_job(queue::Job& job);
    bool withdraw_submitted(queue::Job& job);
    void reply_reserved(HeldJobs::iterator held);
    void submit_requested(const std::string& effect);
    Micros schedule(Micros at);

    const BrokerSettings settings_;
    TubeMapping mapping_;
    BrokerCallbacks& callbacks_;
    queue::JobQueue queue_;
    std::vector<TubeState> tube_states_;  // by TubeId
    std::unordered_map<SessionId, Session> sessions_;
    std::unordered_map<RunnerId, SessionId> workers_;
    std::map<std::vector<queue::TubeId>, Group> groups_;
    std::set<Group*> changed_groups_;
    std::set<queue::TubeId> changed_tubes_;
    std::unordered_map<TaskId, queue::JobId> job_by_task_;  // tasks that the broker submitted
    std::unordered_map<queue::JobId, Group*> submitted_;    // not assigned yet; null: no group
    std::unordered_set<queue::JobId> pushed_jobs_;          // submitted for runners over HTTP
    // By effect: the sessions that wait in a reserve-job. Only the first of them serves the effect's
    // workload.
    std::map<std::string, std::deque<SessionId>> job_requests_;
    HeldJobs held_;
    std::unordered_map<TaskId, std::vector<HeldKey>> held_by_task_;
    std::set<std::pair<Micros, HeldKey>> deadlines_, deadline_warnings_;
    std::set<std::pair<Micros, SessionId>> reserve_timeouts_;
    std::uint64_t command_counts_[32] = {};  // by verb
    std::uint64_t timeouts_ = 0, total_sessions_ = 0, total_jobs_ = 0;
    Micros now_ = 0, started_at_ = -1, next_queue_change_ = 0;  // next_queue_change_: 0: none
    bool rejects_puts_ = false, dispatches_jobs_ = true;
};

}  // namespace gannethold::beanstalk
