// Producers and pulling workers of beanstalkd's protocol, their tubes and jobs, and what becomes of each job.
// No I/O and no clock: commands come in, answers and orders go out through Floor, times are passed in, in
// microseconds.
//
// Who gets which job is not decided here. A worker that reserves says that it has room; jobs enter the
// decision module as tasks, no more of them than workers wait, and whoever the module draws gets one. What a
// job's end means:
//   delete               finished
//   release              handed back: it never ran; the job waits again, with what the worker said
//   bury                 the job is put aside until somebody kicks it; over HTTP it failed
//   time to run is over  may have run: the module says whether once more, or given up
//   connection lost      may have run, likewise
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "beanstalk/reader.hpp"
#include "frontend/task_sink.hpp"
#include "queue/job_queue.hpp"
#include "runners/transport.hpp"
#include "types.hpp"

namespace gannethold::beanstalk {

enum class SessionId : std::uint64_t {};

// How jobs of a tube are to be treated. Without a name: how those of any tube are that is not named.
struct TubePlan {
    std::string name;
    std::string workload;  // that it shares with the other fronts; empty: its own
    std::string effect = "side-effecting";
    Micros due = 60'000'000, expiry = 3'600'000'000;
    double importance = 1;
    std::size_t pushed = 0;  // so many at once may go to runners that are pushed to; 0: workers here only
    bool harmless() const { return effect == "idempotent"; }
};

// By what trade it is run; from the operators' file.
struct Trade {
    std::vector<TubePlan> tubes;   // the named ones
    TubePlan otherwise;            // any other
    std::size_t other_tubes = 16;  // so many of them at once, each with a workload of its own
    std::size_t longest_body = 65'535;
    queue::QueueLimits bounds;
    Micros margin = 1'000'000;  // before a job's time is over, in which nothing more is reserved
    Micros least_run = 1'000'000;
    bool cold = true;  // whether a worker that has just connected counts as cold
};

// What the exchange asks of the rest of the program.
class Floor {
  public:
    virtual void say(SessionId to, std::string&& words) = 0;
    virtual void close(SessionId session) = 0;
    // A job enters as a task; its Asker is the exchange.
    virtual TaskId hand_in(const queue::Job& job, const std::string& tube, const TubePlan& plan,
                           WorkloadId workload) = 0;
    virtual void take_back(TaskId task) = 0;  // nobody waits for it any more
    virtual RunnerId worker_joins(SessionId session, const WorkloadSet& serves, bool cold) = 0;
    virtual void worker_serves(RunnerId worker, const WorkloadSet& serves) = 0;
    virtual void worker_leaves(RunnerId worker) = 0;
    virtual void worker_room(RunnerId worker, double slots) = 0;  // what it holds and what it waits for
    virtual void on_call_ended(runners::CallEnded&& ended) = 0;
    virtual void on_probe_ended(RunnerId worker) = 0;

  protected:
    ~Floor() = default;
};

class Exchange final : public frontend::TaskSource, public runners::Transport {
  public:
    // places: which workload a tube has. Those of `otherwise` are handed out as tubes come up.
    struct Places {
        std::map<std::string, WorkloadId> named;
        std::vector<WorkloadId> free;
        std::map<std::string, WorkloadId>
            chosen;  // by effect: for a job that one worker asks for by its number
    };
    Exchange(Trade trade, Places places, Floor& floor);

    void opened(Micros now, SessionId session);
    void heard(Micros now, SessionId session, Found found, Command&& command);
    void closed(Micros now, SessionId session);
    // Whether it waits in a reserve: its silence is meant, and nothing more of it is read.
    bool waits(SessionId session) const;
    bool spoke(SessionId session) const;  // anything valid, so far
    // What time alone changes. Returns when to look again; 0: nothing changes by itself.
    Micros pass(Micros now);

    // No more jobs are taken; those that wait stay, and workers may end what they have.
    void turn_away(bool yes) { turns_away_ = yes; }
    void hand_out(bool yes);  // whether waiting workers still get jobs
    // An operator's word that a job that may have run may run again. False: there is no such buried job.
    bool kick_for_good(std::uint64_t id);

    // Tells the room of a worker again: who was held back or away is forgotten in the meantime.
    void remind(RunnerId worker) const;
    // A task that was a job is on its way to a runner that is pushed to: from now on it is in somebody's
    // hands.
    void went_elsewhere(TaskId task);

    std::size_t tasks_out() const { return held_.size(); }
    std::size_t waiting_jobs() const { return queue_.size(); }
    std::size_t sessions() const { return sessions_.size(); }
    const queue::JobQueue& queue() const { return queue_; }

    // ---- Asker: how a task that was a job ended ----
    void on_answer(TaskId task, frontend::Answer answer, std::string_view result,
                   Micros retry_after) override;
    // ---- Port: what the module gives to workers ----
    void assign(RunnerId runner, runners::PendingCall&& errand) override;
    void withdraw(TaskId task, int number) override;
    void probe(RunnerId runner) override { floor_.on_probe_ended(runner); }
    void close_idle(RunnerId) override {}
    void limit_deadlines(Micros at) override;

  private:
    // A job in a worker's hands.
    struct Held {
        SessionId session{};
        runners::PendingCall errand;
        RunnerId worker{};
        Micros since = 0, run = 0, limit = 0;  // limit: when its time is over
        bool of_queue = false;                 // else handed in by another front
    };
    // Workers that watch the same tubes want the same jobs.
    struct Group {
        std::vector<queue::TubeId> tubes;
        std::size_t members = 0, waiting = 0;
        std::vector<queue::JobId> entered;  // as tasks, for those who wait
    };
    struct Session {
        SessionId id{};
        queue::TubeId used{};
        std::vector<queue::TubeId> watched;
        Group* group = nullptr;
        std::size_t held = 0;
        RunnerId worker{};
        Micros wait_until = 0;      // 0: for ever
        queue::JobId asked{};       // by its number
        queue::State asked_from{};  // where that lay
        bool joined = false, waiting = false, puts = false, spoke = false;
    };
    struct OfTube {
        WorkloadId workload{};
        const TubePlan* plan = nullptr;
        std::size_t pushed = 0;
        bool own_place = false;
    };

    void obey(Micros now, Session& s, Command&& c);
    void put(Micros now, Session& s, Command&& c);
    void reserve(Micros now, Session& s, Micros until);
    void reserve_job(Micros now, Session& s, queue::JobId id);
    void stop_asking(Session& s);
    void remove(Micros now, Session& s, queue::JobId id);
    void release(Micros now, Session& s, const Command& c);
    void bury(Micros now, Session& s, const Command& c);
    void touch(Micros now, Session& s, queue::JobId id);
    void watch(Session& s, const std::string& name);
    void ignore(Session& s, const std::string& name);
    void peek(Session& s, const queue::Job* job);
    void kick(Session& s, std::size_t most);
    bool kick_one(queue::Job& job, bool for_good);
    void pause(Micros now, Session& s, const Command& c);
    void tell_stats(Micros now, Session& s);
    void tell_job(Micros now, Session& s, queue::JobId id);
    void tell_tube(Micros now, Session& s, const std::string& name);

    void say(const Session& s, std::string&& words) { floor_.say(s.id, std::move(words)); }
    std::optional<queue::TubeId> open_tube(const std::string& name);
    void leave_tube(queue::TubeId tube);
    OfTube& of(queue::TubeId tube) { return of_tubes_[static_cast<std::size_t>(tube)]; }
    void regroup(Session& s);
    WorkloadSet serves(const Session& s) const;
    void set_waiting(Session& s, bool waits);
    void tell_room(const Session& s) const;
    void stir(queue::TubeId tube);
    void fill(Group& group);
    void fill_stirred();
    bool enter(queue::Job& job, Group* group);
    void push_out(queue::TubeId tube);
    void forget_entered(queue::JobId job);
    void back(queue::JobId job);
    // A job in the hands of one session; of a harmless one two may have a copy.
    using Grip = std::pair<queue::JobId, SessionId>;
    using AllHeld = std::map<Grip, Held>;
    void end(AllHeld::iterator held, net::CloseReason ending);
    void set_limit(AllHeld::iterator held, Micros limit);
    void drop_job(queue::Job& job);
    bool take_back(queue::Job& job);
    void say_reserved(AllHeld::iterator held);
    void choose_next(const std::string& effect);
    Micros due(Micros at);

    const Trade trade_;
    Places places_;
    Floor& floor_;
    queue::JobQueue queue_;
    std::vector<OfTube> of_tubes_;  // by tube
    std::unordered_map<SessionId, Session> sessions_;
    std::unordered_map<RunnerId, SessionId> workers_;
    std::map<std::vector<queue::TubeId>, Group> groups_;
    std::set<Group*> stirred_;
    std::set<queue::TubeId> stirred_tubes_;
    std::unordered_map<TaskId, queue::JobId> jobs_of_;  // tasks that are jobs of the queue
    std::unordered_map<queue::JobId, Group*> entered_;  // not yet in anybody's hands; none: to be pushed
    std::unordered_set<queue::JobId> pushed_;           // that may be at a runner that is pushed to
    std::map<std::string, std::deque<SessionId>>
        asking_;  // by effect: who asks for a job by its number; the first has the place
    AllHeld held_;
    std::unordered_map<TaskId, std::vector<Grip>> held_of_;
    std::set<std::pair<Micros, Grip>> limits_, nearly_;  // when time is over, and when it soon is
    std::set<std::pair<Micros, SessionId>> waits_;
    std::uint64_t counts_[32] = {};  // of commands, by verb
    std::uint64_t timeouts_ = 0, total_sessions_ = 0, total_jobs_ = 0;
    Micros now_ = 0, begun_ = -1, next_change_ = 0;  // next_change_: of the queue; 0: none
    bool turns_away_ = false, hands_out_ = true;
};

}  // namespace gannethold::beanstalk
