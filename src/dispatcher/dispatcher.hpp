// Joins clients, runners and the roster to one Balancer: what they bring in a turn of the loop is a batch of
// events, and what the module then wants is carried out. Decides nothing itself.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "beanstalk/tube_mapping.hpp"
#include "beanstalk/server.hpp"
#include "balancer.hpp"
#include "clients/server.hpp"
#include "control/control_server.hpp"
#include "dispatcher/posting.hpp"
#include "drain/drain.hpp"
#include "metrics/counters.hpp"
#include "handover/passage.hpp"
#include "snapshot/snapshot_scheduler.hpp"
#include "log/log.hpp"
#include "settings/workload_registry.hpp"
#include "membership/endpoint_table.hpp"
#include "membership/discovery_client.hpp"
#include "membership/dynamic_workers.hpp"
#include "membership/operator_overrides.hpp"
#include "runners/connection_pool.hpp"
#include "shadow/shadow.hpp"
#include "retry/execution_log.hpp"
#include "admin/admin_server.hpp"

namespace gannethold::dispatcher {

// What operators add beyond the platform's configuration.
struct Extras {
    std::optional<control::ControlOptions> desk;  // none: no control socket
    drain::DrainSettings manners;
    snapshot::SnapshotSettings snapshot;  // without a folder there are no snapshots
    retry::DeduplicationSettings
        deduplication;                // disabled: a retry of what may have run is a task like any other
    beanstalk::ServerSettings tubes;  // without an entrance it is off
    // Settings that are watched and never acted by: their file (read again at a reload; empty: none), a turn
    // of so many, and the processor's time that a second of it may take.
    std::string watched;
    int watched_every = 16;
    Micros watched_most = 2'000;
};

// Throws std::runtime_error with one line where the tubes would leave too few descriptors to everybody else.
void must_fit(const Posting& posting, const beanstalk::ServerSettings& tubes);

class Dispatcher final : public frontend::TaskSink,
                         public runners::TransportObserver,
                         public control::RequestHandler,
                         public beanstalk::ServerCallbacks,
                         public admin::AdminHandler,
                         public handover::Party {
  public:
    Dispatcher(net::Loop& loop, const Posting& posting, log::Log& log, const Extras& extras = {});

    void run();                            // until it has left
    void end_turn();                       // settles what the turn brought; run() calls it
    void leave();                          // answers what it has and what still comes, then ends
    void reload(const std::string& path);  // takes from the file what can change in service
    std::uint16_t port() const { return server_.port(); }
    std::uint16_t admin_port() const { return admin_server_ ? admin_server_->port() : 0; }
    const metrics::Counters& counters() const { return counters_; }
    const shadow::Counts* watched() const { return shadow_ ? &shadow_->counts() : nullptr; }
    const beanstalk::Server* pullers() const { return pullers_.get(); }
    // nullptr: there are no snapshots.
    const snapshot::SnapshotStats* snapshot_stats() const {
        return snapshot_scheduler_ ? &snapshot_scheduler_->stats() : nullptr;
    }

  private:
    struct Task {
        frontend::TaskSource* asker = nullptr;  // none once answered, or whoever asked has left
        std::string request_id, head;
        net::BlockBuffer body;
        Micros expiry = 0;
        WorkloadId workload{};
        Micros taken_at = 0;
        int assignments = 0, out = 0;
        bool ran = false;  // it may have, somewhere
        std::string sign;  // by which a retry of it is known; empty: by nothing
    };
    // A retry that waits for the end of the task that it repeats.
    struct Joined {
        frontend::TaskSource* asker = nullptr;
        TaskId first{};
        Micros expiry = 0;
        std::string request_id;
        WorkloadId workload{};
    };
    struct Failure {
        Micros at = 0;
        std::string request, runner, workload;
        net::CloseReason ending{};
        Micros elapsed = 0;
    };
    using Tasks = std::unordered_map<TaskId, Task>;

    TaskId submit(frontend::TaskSource& asker, frontend::SubmittedTask&& handed, net::BlockBuffer&& body,
                  Micros came_at) override;
    void on_client_disconnected(TaskId task) override;
    bool is_known_request(const std::string& request_id) const override { return ids_.contains(request_id); }
    bool is_ready() const override { return !book_.empty() && (!passage_ || passage_->settled()); }
    void on_rejected(WorkloadId workload) override {
        counters_.on_answered(workload_name(workload), frontend::Answer::bounced);
    }
    void on_call_ended(runners::CallEnded&& ended) override;
    void on_request_written() override { counters_.on_assignment_written(); }
    void on_progress(TaskId task, int number, RunnerId runner, Stage stage, double share) override;
    void on_probe_ended(RunnerId runner, net::CloseReason ending, Micros elapsed, Report&& report) override;

    // What the front with tubes asks; in pulling.cpp.
    TaskId submit_task(const queue::Job& job, const std::string& tube, const beanstalk::TubePlan& plan,
                       WorkloadId workload) override;
    void cancel_task(TaskId task) override { on_client_disconnected(task); }
    RunnerId add_worker(const beanstalk::ListenerSettings& by, const WorkloadSet& serves, bool cold) override;
    void set_worker_workloads(RunnerId worker, const WorkloadSet& serves) override;
    void remove_worker(RunnerId worker) override;
    void set_worker_slots(RunnerId worker, double slots) override { note(CapacityReported{worker, slots}); }
    void on_probe_ended(RunnerId worker) override { on_probe_ended(worker, net::CloseReason::done, 0, {}); }
    runners::Transport& port_of(RunnerId runner);
    std::size_t unanswered() const;
    json::Object tell_tubes() const;
    json::Object kick(const json::Value& request, const std::string& by);

    bool heard(const membership::EndpointList& listing, UpdateScope scope);
    void note(const Event& event);
    void carry_out(const Action& action);
    void assign(const Assign& wanted);
    void answer(TaskId task, clients::Answer answer, std::string_view result, Micros retry_after);
    void end_asking(Tasks::iterator task);
    void forget_if_over(Tasks::iterator task);
    std::string with_names(const std::string& text) const;
    void set_wake();
    void wake();
    void look_at_drain();
    bool open(WorkloadId place) const;  // whether anything still goes by its terms
    void restate(const Posting& fresh, const settings::WorkloadRegistry::Change& change);
    void share_out();

    // Retries of what may have run; in repeating.cpp.
    std::string sign_of(const frontend::SubmittedTask& handed) const;
    bool take_as_repeat(TaskId id, frontend::TaskSource& asker, const frontend::SubmittedTask& handed,
                        Micros expiry);
    bool left_joined(TaskId id);
    bool pass_on(Tasks::iterator task);
    void answer_joined(TaskId first, frontend::Answer answer, std::string_view result, Micros retry_after);
    void note_end(TaskId id, const Task& task, frontend::Answer answer, std::string_view result);
    void answer_owed();
    json::Object tell_repeats() const;

    // The control socket's requests; in office.cpp.
    json::Object on_request(const std::string& what, const json::Value& request,
                            const std::string& by) override;
    json::Object tell_status() const;
    json::Object tell_runners() const;
    json::Object tell_tasks() const;
    json::Object tell_failures() const;
    json::Object order_drain(const json::Value& request, const std::string& by);
    json::Object undo_drain(const json::Value& request, const std::string& by);
    json::Object hold(const json::Value& request, const std::string& by);
    json::Object release(const json::Value& request, const std::string& by);
    json::Object tell_drain() const;
    void heard_anew(const std::string& runner);
    // What operators' programs call; in calling.cpp.
    admin::AdminResponse on_admin_request(admin::AdminRequest request) override;
    metrics::Gauges gauges() const;
    // Between an old and a new one at an upgrade; in handing_over.cpp.
    std::vector<handover::Word> hand_over() override;
    void handed(const handover::Word& word) override;
    void company(std::size_t others) override;
    std::size_t own_part(std::size_t of) const { return std::max<std::size_t>(1, of / (1 + others_)); }
    // What is kept over a restart; in remembering.cpp.
    snapshot::SnapshotScheduler::Part collect_snapshot(std::size_t offset, std::size_t max_runners) const;
    void restore_snapshot(const snapshot::SnapshotSettings& settings);
    std::size_t apply_snapshot(const snapshot::Snapshot& saved, const snapshot::DecayPolicy& policy,
                               const handover::Troubles& troubles);
    json::Object snapshot_status() const;
    // What other settings would decide; in watching.cpp.
    SettingsMap over_ours(const Posting& watched) const;
    void watch_turn(const Event& event);
    void watch_settled();
    json::Object tell_watched() const;
    void keep_failure(const Task& task, const runners::CallEnded& ended);
    const std::string& workload_name(WorkloadId id) const;
    void publish(const char* what, json::Object more);

    net::Loop& loop_;
    log::Log& log_;
    Posting posting_;
    clients::Directory directory_;
    beanstalk::ServerSettings tubes_;
    beanstalk::TubeWorkloads tube_workloads_;
    settings::WorkloadRegistry
        workload_registry_;  // of the posting's workloads, and of the tubes as workloads
    Balancer balancer_;
    membership::EndpointTable book_;
    membership::DiscoveryClient follower_;
    runners::ConnectionPool links_;
    peers::Post post_;
    clients::Server server_;
    Tasks tasks_;
    std::set<std::string> ids_;  // of the requests under way
    std::priority_queue<std::pair<Micros, TimerId>, std::vector<std::pair<Micros, TimerId>>, std::greater<>>
        wakes_;
    net::Timer wake_, farewell_;
    std::vector<Action> actions_;
    std::uint64_t tasks_taken_ = 0;
    drain::Drain drain_;
    membership::OperatorOverrides holds_;
    membership::DynamicWorkers guests_;
    std::deque<Failure> failures_;  // the newest last
    std::uint64_t failed_ = 0;
    metrics::Counters counters_;
    std::size_t idle_at_closing_ = 0;
    bool closing_ = false, healthy_ = true;
    drain::Phase told_phase_ = drain::Phase::serving;
    const retry::DeduplicationSettings deduplication_;
    retry::ExecutionLog execution_log_;
    std::unordered_map<TaskId, Joined> joined_;
    std::unordered_map<TaskId, std::vector<TaskId>> joined_to_;
    std::unordered_map<TaskId, TaskId>
        stands_for_;  // a retry that has taken the place of whoever asked first
    std::vector<std::tuple<TaskId, frontend::Answer, std::string>> owed_;
    std::set<std::pair<Micros, TaskId>> joined_until_;
    std::uint64_t joins_ = 0, told_ends_ = 0;
    net::Timer joined_timer_;
    std::size_t others_ = 0;  // of this name, that live beside this one
    std::size_t all_blocks_ = 0;
    bool list_is_own_ = false;  // discovery has spoken to this one itself
    handover::Troubles troubles_;
    std::unique_ptr<handover::Passage> passage_;
    std::unique_ptr<control::ControlServer> desk_;
    std::unique_ptr<admin::AdminServer> admin_server_;
    std::unique_ptr<beanstalk::Server> pullers_;
    std::unique_ptr<snapshot::SnapshotScheduler> snapshot_scheduler_;
    std::string restored_ = "there are no snapshots";
    const std::string watched_;
    const Micros watched_most_;
    std::unique_ptr<shadow::Shadow> shadow_;
    Micros watch_second_ = 0, watch_spent_ = 0, watch_log_ = 0;
    std::uint64_t watch_left_out_ = 0;
    Micros last_minute_ = 0;
    bool noted_ = false, follows_by_itself_ = false;
};

}  // namespace gannethold::dispatcher
