// Connects the client servers, the runners and the membership list to one Balancer. The events of one turn of
// the event loop are applied as a batch, and the actions that the Balancer returns are executed at its end.
// The dispatcher itself makes no scheduling decisions.
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
#include "dispatcher/dispatcher_config.hpp"
#include "drain/drain.hpp"
#include "metrics/counters.hpp"
#include "handover/handover_channel.hpp"
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

// Options from the operators' file, in addition to the platform's configuration.
struct DispatcherOptions {
    std::optional<control::ControlOptions> control_socket;  // disengaged: no control socket
    drain::DrainSettings drain;
    snapshot::SnapshotSettings snapshot;  // an empty folder disables snapshots
    retry::DeduplicationSettings
        deduplication;  // disabled: a retry of a task that may have run is treated as a new task
    beanstalk::ServerSettings tubes;  // without a listening address the beanstalkd front is disabled
    // Shadow evaluation: the file of the settings to compare with, which is read again at a reload (empty:
    // disabled); one turn of this many is sampled; and the CPU time that sampling may use per second.
    std::string shadow_configuration;
    int shadow_sample_interval = 16;
    Micros max_shadow_cpu_per_second = 2'000;
};

// Throws std::runtime_error with one line if the connections of the beanstalkd front would leave too few file
// descriptors for runners and other clients.
void check_descriptor_limit(const DispatcherConfig& config, const beanstalk::ServerSettings& tubes);

// One dispatcher process. Not thread-safe: everything runs on the thread of the event loop.
class Dispatcher final : public frontend::TaskSink,
                         public runners::TransportObserver,
                         public control::RequestHandler,
                         public beanstalk::ServerCallbacks,
                         public admin::AdminHandler,
                         public handover::HandoverHandler {
  public:
    Dispatcher(net::Loop& loop, const DispatcherConfig& config, log::Log& log,
               const DispatcherOptions& options = {});

    void run();        // returns after a shutdown is complete
    void end_turn();   // executes the actions that the turn's events led to; run() calls it
    void shut_down();  // begins a graceful shutdown: answers queued and late tasks, then stops the loop
    void reload(const std::string& path);  // applies the settings of the file that can change while serving
    std::uint16_t port() const { return server_.port(); }
    std::uint16_t admin_port() const { return admin_server_ ? admin_server_->port() : 0; }
    const metrics::Counters& counters() const { return counters_; }
    const shadow::Counts* shadow_counts() const { return shadow_ ? &shadow_->counts() : nullptr; }
    const beanstalk::Server* tube_server() const { return tube_server_.get(); }
    // nullptr if snapshots are disabled.
    const snapshot::SnapshotStats* snapshot_stats() const {
        return snapshot_scheduler_ ? &snapshot_scheduler_->stats() : nullptr;
    }

  private:
    struct Task {
        frontend::TaskSource* requester =
            nullptr;  // nullptr once answered, or once the client has disconnected
        std::string request_id, request_head;
        net::BlockBuffer body;
        Micros expiry = 0;
        WorkloadId workload{};
        Micros accepted_at = 0;
        int assignments = 0, in_flight = 0;
        bool may_have_run = false;
        std::string retry_key;  // identifies a retry of this task; empty: retries are not recognised
    };
    // A retry that waits for the result of the task that it repeats.
    struct JoinedRetry {
        frontend::TaskSource* requester = nullptr;
        TaskId original{};
        Micros expiry = 0;
        std::string request_id;
        WorkloadId workload{};
    };
    struct Failure {
        Micros failed_at = 0;
        std::string request, runner, workload;
        net::CloseReason close_reason{};
        Micros elapsed = 0;
    };
    using Tasks = std::unordered_map<TaskId, Task>;

    TaskId submit(frontend::TaskSource& requester, frontend::SubmittedTask&& request, net::BlockBuffer&& body,
                  Micros arrived_at) override;
    void on_client_disconnected(TaskId task) override;
    bool is_known_request(const std::string& request_id) const override {
        return request_ids_.contains(request_id);
    }
    bool is_ready() const override { return !book_.empty() && (!handover_ || handover_->is_settled()); }
    void on_rejected(WorkloadId workload) override {
        counters_.on_answered(workload_name(workload), frontend::Answer::bounced);
    }
    void on_call_ended(runners::CallEnded&& ended) override;
    void on_request_written() override { counters_.on_assignment_written(); }
    void on_progress(TaskId task, int number, RunnerId runner, Stage stage, double share) override;
    void on_probe_ended(RunnerId runner, net::CloseReason ending, Micros elapsed, Report&& report) override;

    // Calls from the beanstalkd front; in pull_workers.cpp.
    TaskId submit_task(const queue::Job& job, const std::string& tube, const beanstalk::TubePlan& plan,
                       WorkloadId workload) override;
    void cancel_task(TaskId task) override { on_client_disconnected(task); }
    RunnerId add_worker(const beanstalk::ListenerSettings& by, const WorkloadSet& serves, bool cold) override;
    void set_worker_workloads(RunnerId worker, const WorkloadSet& serves) override;
    void remove_worker(RunnerId worker) override;
    void set_worker_slots(RunnerId worker, double slots) override {
        apply_event(CapacityReported{worker, slots});
    }
    void on_probe_ended(RunnerId worker) override { on_probe_ended(worker, net::CloseReason::done, 0, {}); }
    runners::Transport& port_of(RunnerId runner);
    std::size_t unanswered() const;
    json::Object tube_status() const;
    json::Object kick_job(const json::Value& request, const std::string& by);

    bool apply_listing(const membership::EndpointList& listing, UpdateScope scope);
    void apply_event(const Event& event);
    void execute(const Action& action);
    void start_assignment(const Assign& action);
    void answer_task(TaskId task, clients::Answer answer, std::string_view result, Micros retry_after);
    void detach_requester(Tasks::iterator task);
    void erase_if_finished(Tasks::iterator task);
    std::string with_runner_names(const std::string& text) const;
    void arm_timer();
    void on_timer();
    void update_drain();
    bool is_workload_in_use(WorkloadId workload) const;
    void apply_settings(const DispatcherConfig& fresh, const settings::WorkloadRegistry::Change& change);
    void share_limits();

    // Retries of tasks that may have run; in retries.cpp.
    std::string retry_key_of(const frontend::SubmittedTask& request) const;
    bool join_original(TaskId id, frontend::TaskSource& requester, const frontend::SubmittedTask& request,
                       Micros expiry);
    bool remove_joined_retry(TaskId id);
    bool hand_task_to_retry(Tasks::iterator task);
    void answer_joined_retries(TaskId original, frontend::Answer answer, std::string_view result,
                               Micros retry_after);
    void record_execution_end(TaskId id, const Task& task, frontend::Answer answer, std::string_view result);
    void answer_pending_retries();
    json::Object retry_status() const;

    // Requests on the control socket; in operator_commands.cpp.
    json::Object on_request(const std::string& what, const json::Value& request,
                            const std::string& by) override;
    json::Object status() const;
    json::Object runner_status() const;
    json::Object task_status() const;
    json::Object failure_status() const;
    json::Object start_drain(const json::Value& request, const std::string& by);
    json::Object cancel_drain(const json::Value& request, const std::string& by);
    json::Object hold_runner(const json::Value& request, const std::string& by);
    json::Object release_runner(const json::Value& request, const std::string& by);
    json::Object drain_status() const;
    void reapply_hold(const std::string& runner);
    // Requests to the admin address; in admin_requests.cpp.
    admin::AdminResponse on_admin_request(admin::AdminRequest request) override;
    metrics::Gauges gauges() const;
    // The handover from an old to a new dispatcher at an upgrade; in handover.cpp.
    std::vector<handover::Message> collect_handover() override;
    void on_handover_message(const handover::Message& message) override;
    void on_dispatcher_count(std::size_t others) override;
    std::size_t own_share(std::size_t limit) const {
        return std::max<std::size_t>(1, limit / (1 + other_dispatchers_));
    }
    // The learned state that snapshots and handovers carry; in learned_state.cpp.
    snapshot::SnapshotScheduler::Part collect_snapshot(std::size_t offset, std::size_t max_runners) const;
    void restore_snapshot(const snapshot::SnapshotSettings& settings);
    std::size_t apply_snapshot(const snapshot::Snapshot& saved, const snapshot::DecayPolicy& policy,
                               const handover::RunnerConditions& conditions);
    json::Object snapshot_status() const;
    // Shadow evaluation of other settings; in shadowing.cpp.
    SettingsMap shadow_settings(const DispatcherConfig& shadow_config) const;
    void shadow_event(const Event& event);
    void compare_shadow();
    json::Object shadow_status() const;
    void record_failure(const Task& task, const runners::CallEnded& ended);
    const std::string& workload_name(WorkloadId id) const;
    void publish(const char* what, json::Object more);

    net::Loop& loop_;
    log::Log& log_;
    DispatcherConfig config_;
    clients::Directory directory_;
    beanstalk::ServerSettings tubes_;
    beanstalk::TubeWorkloads tube_workloads_;
    settings::WorkloadRegistry
        workload_registry_;  // the workloads of the configuration, and the tubes as workloads
    Balancer balancer_;
    membership::EndpointTable book_;
    membership::DiscoveryClient follower_;
    runners::ConnectionPool links_;
    peers::PeerChannel peer_channel_;
    clients::Server server_;
    Tasks tasks_;
    std::set<std::string> request_ids_;  // of the tasks that are not yet answered
    std::priority_queue<std::pair<Micros, TimerId>, std::vector<std::pair<Micros, TimerId>>, std::greater<>>
        pending_timers_;
    net::Timer module_timer_, drain_timer_;
    std::vector<Action> actions_;
    std::uint64_t tasks_accepted_ = 0;
    drain::Drain drain_;
    membership::OperatorOverrides holds_;
    membership::DynamicWorkers pull_workers_;
    std::deque<Failure> failures_;  // oldest first
    std::uint64_t failed_assignments_ = 0;
    metrics::Counters counters_;
    std::size_t idle_at_drain_start_ = 0;
    bool is_closing_ = false, is_healthy_ = true;
    drain::Phase reported_phase_ = drain::Phase::serving;
    const retry::DeduplicationSettings deduplication_;
    retry::ExecutionLog execution_log_;
    std::unordered_map<TaskId, JoinedRetry> joined_retries_;
    std::unordered_map<TaskId, std::vector<TaskId>> retries_by_original_;
    std::unordered_map<TaskId, TaskId>
        replaced_task_;  // from a retry to the task that it took over when the first client disconnected
    std::vector<std::tuple<TaskId, frontend::Answer, std::string>> pending_answers_;
    std::set<std::pair<Micros, TaskId>> joined_deadlines_;
    std::uint64_t joined_count_ = 0, answered_from_log_ = 0;
    net::Timer joined_timer_;
    std::size_t other_dispatchers_ = 0;  // processes of the same name that run beside this one
    std::size_t total_blocks_ = 0;
    bool has_discovery_list_ = false;  // this process has received a list from discovery itself
    handover::RunnerConditions handed_over_conditions_;
    std::unique_ptr<handover::HandoverChannel> handover_;
    std::unique_ptr<control::ControlServer> control_socket_;
    std::unique_ptr<admin::AdminServer> admin_server_;
    std::unique_ptr<beanstalk::Server> tube_server_;
    std::unique_ptr<snapshot::SnapshotScheduler> snapshot_scheduler_;
    std::string restore_summary_ = "there are no snapshots";
    const std::string shadow_path_;
    const Micros max_shadow_cpu_;
    std::unique_ptr<shadow::Shadow> shadow_;
    Micros shadow_second_start_ = 0, shadow_cpu_used_ = 0, next_shadow_log_at_ = 0;
    std::uint64_t shadow_skipped_ = 0;
    Micros final_stop_at_ = 0;
    bool has_new_events_ = false, watches_membership_ = false;
};

}  // namespace gannethold::dispatcher
