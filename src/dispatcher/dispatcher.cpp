#include "dispatcher/dispatcher.hpp"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

#include "dispatcher/outcomes.hpp"
#include "http/writer.hpp"
#include "balancer_settings.hpp"

namespace gannethold::dispatcher {
namespace {

// After the signal clients still connect for a while, through load balancers that have not yet noticed the
// shutdown. In a rolling restart the previously restarted dispatcher may not serve again by then, and a
// client with a connection here may have no other: so open connections are served for half of the shutdown
// time.
constexpr Micros kMinAcceptAfterSignal = 600'000;
// The platform kills the process when the longest time that a client waits (at most three seconds), and a
// margin, have passed since the signal; no task may still be in flight then.
constexpr Micros kMaxShutdownTime = 3'000'000, kFinalStopMargin = 400'000;
// If another process accepts from the same socket, idle connections are closed over this period, so that not
// all clients reconnect at once.
constexpr Micros kIdleCloseSpread = 400'000;
constexpr Micros kWatchRetryDelay = 500'000;

// File descriptors: ten are for the process itself and discovery, the rest of these for clients that are
// turned away. A task in flight needs two, a queued task only its client's; so runners get two fifths of the
// remaining descriptors and clients three fifths.
constexpr std::size_t kReservedDescriptors = 18;
std::size_t descriptors_for_tasks(std::size_t sockets) {
    return sockets > kReservedDescriptors + 5 ? sockets - kReservedDescriptors : 5;
}
std::size_t descriptors_for_runners(std::size_t sockets) { return descriptors_for_tasks(sockets) * 2 / 5; }

clients::ServerLimits client_limits(const DispatcherConfig& config, std::size_t sockets) {
    const SettingsReader reader(config.settings);
    clients::ServerLimits limits;
    limits.sessions = descriptors_for_tasks(sockets) - descriptors_for_runners(sockets);
    limits.tasks = static_cast<std::size_t>(std::max(1.0, reader.get_number("caps.max_open", 1e6)));
    if (reader.get_bool("caps.retry_after"))
        limits.retry_after = reader.get_micros("caps.max_retry_after_us", 0);
    return limits;
}

runners::PoolOptions runner_limits(const DispatcherConfig& config, std::size_t sockets) {
    const SettingsReader reader(config.settings);
    runners::PoolOptions limits;
    limits.connect_timeout =
        std::max<Micros>(1'000, reader.get_micros("caps.connect_timeout_us", limits.connect_timeout));
    // The margin allows for a runner that starts its timeout before its answer arrives here.
    limits.idle_timeout = reader.get_micros("caps.keepalive_us", 10'000'000) * 3 / 4;
    limits.max_connections = descriptors_for_runners(sockets);
    return limits;
}

// The descriptors that remain after those of the beanstalkd front, the admin server and the handover.
std::size_t available_sockets(const DispatcherConfig& config, const beanstalk::ServerSettings& tubes,
                              std::size_t own) {
    const std::size_t used_elsewhere =
        (tubes.listeners.empty() ? 0 : tubes.max_connections + tubes.listeners.size()) +
        (config.admin_address ? admin::AdminServer::kMaxDescriptors : 0) +
        (config.handover_folder.empty() ? 0 : handover::HandoverChannel::kDescriptors);
    return own > used_elsewhere ? own - used_elsewhere : 1;
}

settings::WorkloadRegistry make_workload_registry(const DispatcherConfig& config,
                                                  beanstalk::ServerSettings& tubes,
                                                  beanstalk::TubeWorkloads& tube_workloads) {
    SettingsMap all = config.settings;
    if (!tubes.listeners.empty()) tube_workloads = beanstalk::add_workloads(all, tubes.broker);
    return settings::WorkloadRegistry(all, config.workload_count());
}

template <class... Ts>
struct Overloaded : Ts... {
    using Ts::operator()...;
};

}  // namespace

Dispatcher::Dispatcher(net::Loop& loop, const DispatcherConfig& config, log::Log& log,
                       const DispatcherOptions& options)
    : loop_(loop),
      log_(log),
      config_(config),
      directory_(config_.settings),
      tubes_(options.tubes),
      workload_registry_(make_workload_registry(config_, tubes_, tube_workloads_)),
      balancer_(workload_registry_.settings(), config_.seed),
      book_(SettingsReader(config_.settings).get_list("zones"),
            SettingsReader(config_.settings).get_list("kinds"), log,
            !SettingsReader(config_.settings).get_bool("rules.only_draining_binds")),
      follower_(
          loop, config_.discovery, log,
          [this](const membership::EndpointList& l) {
              has_discovery_list_ = true;
              return apply_listing(l, l.full ? UpdateScope::complete : UpdateScope::delta);
          },
          [this] {
              if (watches_membership_)
                  pending_timers_.emplace(net::Loop::now() + kWatchRetryDelay, TimerId{1}), arm_timer();
              apply_event(MembershipUpdate{UpdateScope::failed, book_.version(), {}});
          }),
      links_(loop, *this, runners::ReportDecoder(config_.report_names),
             runner_limits(config_, available_sockets(config_, tubes_, config_.sockets))),
      peer_channel_(loop, config_.peer_addresses,
                    [this](PeerId from, std::string_view message) {
                        apply_event(PeerMessage{from, std::string(message)});
                    }),
      server_(loop, net::ListenAddress(config_.listen, config_.inherited_listener), directory_, *this,
              client_limits(config_, available_sockets(config_, tubes_, config_.sockets)), log),
      module_timer_(loop, [this] { on_timer(); }),
      drain_timer_(loop, [this] { update_drain(); }),
      drain_(options.drain),
      deduplication_(options.deduplication),
      execution_log_(options.deduplication),
      joined_timer_(loop, [this] { answer_pending_retries(); }),
      shadow_path_(options.shadow_configuration),
      max_shadow_cpu_(options.max_shadow_cpu_per_second) {
    if (!shadow_path_.empty())
        shadow_ = std::make_unique<shadow::Shadow>(shadow_settings(DispatcherConfig::read_file(shadow_path_)),
                                                   options.shadow_sample_interval);
    if (!tubes_.listeners.empty())
        tube_server_ =
            std::make_unique<beanstalk::Server>(loop, tubes_.listeners, tubes_.max_connections, tubes_.broker,
                                                tube_workloads_.mapping, *this, log);
    if (options.control_socket)
        control_socket_ = std::make_unique<control::ControlServer>(loop, *options.control_socket, *this, log);
    if (config_.admin_address)
        admin_server_ = std::make_unique<admin::AdminServer>(loop, *config_.admin_address, *this, log);
    for (const auto& [name, id] : directory_.workloads) counters_.add_workload(name);
    apply_listing(config_.known_runners, UpdateScope::cached);
    total_blocks_ = loop.block_pool().max_blocks();
    if (!config_.handover_folder.empty())
        handover_ = std::make_unique<handover::HandoverChannel>(loop, config_.handover_folder, config_.name,
                                                                *this, log);
    if (!options.snapshot.folder.empty()) restore_snapshot(options.snapshot);
    // If discovery pushes changes, the Balancer never requests a watch, so the dispatcher opens it.
    watches_membership_ = SettingsReader(config_.settings).get_string("roster.how", "pushed") != "on_request";
    if (watches_membership_) follower_.follow(book_.follow_from());
    log_.info(net::Loop::now(), "serving as ", log::field("name", config_.name), " on ",
              log::field("listen", config_.listen.text), ", ",
              log::field("runners", config_.known_runners.entries.size()), " runners known");
}

void Dispatcher::run() {
    end_turn();
    loop_.run([this] { end_turn(); });
}

void Dispatcher::shut_down() {
    if (drain_.is_shutting_down()) return;
    const Micros now = net::Loop::now();
    Micros longest = 0;
    for (const auto& [name, id] : directory_.workloads) {
        const std::string expiry =
            "workloads." + std::to_string(static_cast<std::uint32_t>(id)) + ".expiry_us";
        longest = std::max(
            longest, SettingsReader(workload_registry_.settings()).get_micros(expiry, kMaxShutdownTime));
    }
    final_stop_at_ = now + std::min(longest, kMaxShutdownTime) + kFinalStopMargin;
    links_.limit_deadlines(final_stop_at_);
    if (tube_server_) tube_server_->broker().limit_deadlines(final_stop_at_);
    log_.info(now, "leaving, ", log::field("tasks", tasks_.size()), " tasks under way");
    if (config_.inherited_listener) {
        // The socket outlives this process, and another process accepts from it. That process takes the
        // connections in the accept queue, and also the clients connected here: their connections are closed
        // after the current answer, or at once if idle.
        server_.stop_accepting();
        drain_.shut_down(now, final_stop_at_, now, kIdleCloseSpread);
    } else {
        drain_.shut_down(now, final_stop_at_,
                         now + std::max(kMinAcceptAfterSignal, (final_stop_at_ - now) / 2));
    }
    update_drain();
}

// Applies what can change while serving: discovery's address and the settings, except those that
// restart_only_differences() reports. Learned state, holds and tasks under way are kept, and so is the list
// of runners until the new discovery has answered.
void Dispatcher::reload(const std::string& path) {
    const Micros now = net::Loop::now();
    DispatcherConfig new_config, shadow_config;
    settings::WorkloadRegistry::Change change;
    try {
        new_config = DispatcherConfig::read_file(path);
        new_config.check_states_all_of(config_);
        for (const std::string& name : config_.restart_only_differences(new_config))
            log_.warning(now, "reload: ", log::field("setting", name), " differs, and needs a restart");
        new_config.keep_restart_only_settings(config_);
        if (shadow_) shadow_config = DispatcherConfig::read_file(shadow_path_);
        if (new_config.settings != config_.settings)
            change = workload_registry_.update(now, new_config.settings, [this](WorkloadId workload) {
                return is_workload_in_use(workload);
            });
    } catch (const std::exception& e) {
        // The file may be missing, half written or invalid: nothing is changed.
        counters_.on_reload_rejected();
        return log_.warning(now, "reload: ", e.what(), "; the old configuration stays");
    }
    counters_.on_reload_applied();
    if (new_config.settings != config_.settings)
        apply_settings(new_config, change);
    else
        log_.info(now, "reload: the settings stay");
    if (shadow_) shadow_->abandon_turn(), shadow_->set_settings(shadow_settings(shadow_config));
    if (new_config.discovery.text == config_.discovery.text) return log_.info(now, "reload: discovery stays");
    log_.info(now, "reload: discovery moves from ", log::field("from", config_.discovery.text), " to ",
              log::field("to", new_config.discovery.text));
    config_.discovery = new_config.discovery;
    follower_.set_address(config_.discovery);
    book_.reset_version();
    follower_.follow(book_.follow_from());
}

bool Dispatcher::is_workload_in_use(WorkloadId workload) const {
    // A tube that shares a workload keeps using the settings that the workload had at the start.
    const auto& named = tube_workloads_.mapping.by_name;
    return std::any_of(named.begin(), named.end(),
                       [workload](const auto& tube) { return tube.second == workload; }) ||
           std::any_of(tasks_.begin(), tasks_.end(),
                       [workload](const auto& task) { return task.second.workload == workload; });
}

// Divides the descriptors that this process may use at present between clients and runners.
void Dispatcher::share_limits() {
    const std::size_t sockets = available_sockets(config_, tubes_, own_share(config_.sockets));
    server_.update_limits(client_limits(config_, sockets));
    links_.update_options(runner_limits(config_, sockets));
}

// Tasks under way keep the old settings; new tasks use the new ones.
void Dispatcher::apply_settings(const DispatcherConfig& fresh,
                                const settings::WorkloadRegistry::Change& change) {
    const Micros now = net::Loop::now();
    config_.settings = fresh.settings, config_.stated_names = fresh.stated_names;
    directory_ = clients::Directory(config_.settings, workload_registry_.active_workloads());
    for (const auto& [name, id] : directory_.workloads) counters_.add_workload(name);
    share_limits();
    apply_event(SettingsChanged{workload_registry_.settings(), change.learn_from});
    const auto list = [](const std::vector<std::string>& names) {
        std::string all;
        for (const std::string& name : names) all += (all.empty() ? "" : ", ") + name;
        return all.empty() ? std::string("none") : all;
    };
    log_.info(now, "reload: new settings; workloads added: ", log::field("added", list(change.added)),
              "; dropped: ", log::field("dropped", list(change.dropped)),
              "; changed: ", log::field("changed", list(change.changed)));
}

// Applies the drain's current directive to the servers, their connections and the queued tasks.
void Dispatcher::update_drain() {
    const Micros now = net::Loop::now();
    const drain::DrainDirective directive = drain_.evaluate(
        now, {unanswered(), server_.busy_count() + (tube_server_ && !tube_server_->is_idle())});
    if (tube_server_) {
        // A producer keeps a job that is turned away, so no load balancer has to notice first: a requested
        // drain turns jobs away at once, a shutdown when connections are closed.
        tube_server_->broker().set_rejects_puts(drain_.is_shutting_down()
                                                    ? directive.closes_after_response
                                                    : drain_.phase() != drain::Phase::serving);
        tube_server_->broker().set_dispatches_jobs(
            drain_.phase() == drain::Phase::serving ||
            (drain_.phase() == drain::Phase::draining && !directive.answers_waiting_tasks));
        if (directive.closes_after_response && drain_.is_shutting_down()) tube_server_->shut_down();
    }
    is_healthy_ = directive.is_healthy;
    if (!server_.is_shutting_down())
        server_.set_drain_behavior(
            {directive.is_healthy, directive.rejects_new_tasks, directive.closes_after_response});
    if (directive.closes_after_response && drain_.is_shutting_down() &&
        directive.idle_fraction_to_keep <= 0) {
        if (!server_.is_shutting_down()) server_.begin_shutdown();
    } else if (directive.closes_after_response) {
        if (!std::exchange(is_closing_, true)) idle_at_drain_start_ = server_.idle_count();
        server_.close_idle_beyond(static_cast<std::size_t>(static_cast<double>(idle_at_drain_start_) *
                                                           directive.idle_fraction_to_keep));
    } else {
        is_closing_ = false;
    }
    // Queued tasks can no longer be served in time and must be answered. The Balancer knows whether each may
    // have run, answers accordingly, and withdraws what is still in flight.
    if (directive.answers_waiting_tasks) apply_event(DrainDeadline{});
    if (drain_.phase() != reported_phase_) {
        reported_phase_ = drain_.phase();
        log_.info(now, "drain: ", log::field("phase", drain::name_of(reported_phase_)), ", ",
                  log::field("tasks", unanswered()), " tasks wait");
        publish("drain", drain_status());
    }
    if (directive.should_exit) {
        if (snapshot_scheduler_) snapshot_scheduler_->write_final();
        log_.info(now, "left after ", log::field("ms", (now - drain_.changed_at()) / 1000), " ms");
        return loop_.stop();
    }
    if (directive.next_evaluation_at > 0)
        drain_timer_.set(directive.next_evaluation_at);
    else
        drain_timer_.cancel();
}

// ---- Events ------------------------------------------------------------------------------------------

void Dispatcher::apply_event(const Event& event) {
    if (shadow_) shadow_event(event);
    balancer_.apply(net::Loop::now(), event);
    has_new_events_ = true;
}

bool Dispatcher::apply_listing(const membership::EndpointList& listing, UpdateScope scope) {
    auto update = book_.apply(listing, scope, net::Loop::now());
    if (!update) return false;
    holds_.apply_to(*update, book_);
    for (const auto& seat : update->targets)
        links_.set_endpoint(seat.runner, seat.address, seat.open, seat.restarted);
    if (tube_server_)
        for (EndpointEntry& e : update->update.entries) e.workloads = tube_workloads_.pushed_workloads;
    pull_workers_.apply_to(update->update, holds_, book_);
    apply_event(update->update);
    if (handover_ && handover_->has_successors())
        handover_->send({handover::MessageKind::list, membership::format_endpoint_list(book_.to_list())});
    return true;
}

TaskId Dispatcher::submit(frontend::TaskSource& requester, frontend::SubmittedTask&& request,
                          net::BlockBuffer&& body, Micros arrived_at) {
    const TaskId id{++tasks_accepted_};
    if (deduplication_.is_enabled && join_original(id, requester, request, arrived_at + request.timeout))
        return id;
    std::string lines;
    if (request.can_push) {
        auto head = http::Writer::request(request.method, request.target);
        head.field("Host", "runner").field("X-Request-ID", request.id);
        if (!request.fingerprint.empty()) head.field("Idempotency-Key", request.fingerprint);
        if (!request.content_type.empty()) head.field("Content-Type", request.content_type);
        head.content_length(body.size());
        lines = head.head();
        lines.resize(lines.size() - 2);  // the empty line follows the field with the remaining time
    }

    TaskArrived arrived;
    arrived.task = id;
    arrived.workload = request.workload;
    arrived.customer = request.customer;
    arrived.key = request.key;
    arrived.expiry = arrived_at + request.timeout;
    arrived.cost_hint = request.cost_hint;
    arrived.hint_valid = request.cost_hint > 0;
    arrived.slots = request.slots;
    arrived.memory = request.memory;
    arrived.client_retry = request.is_retry;
    std::string retry_key = deduplication_.is_enabled ? retry_key_of(request) : "";
    if (!retry_key.empty()) execution_log_.on_started(net::Loop::now(), retry_key, id);
    request_ids_.insert(request.id);
    tasks_.emplace(id, Task{&requester, std::move(request.id), std::move(lines), std::move(body),
                            arrived.expiry, request.workload, arrived_at, 0, 0, false, std::move(retry_key)});
    apply_event(arrived);
    return id;
}

void Dispatcher::on_client_disconnected(TaskId id) {
    if (remove_joined_retry(id)) return;
    if (const auto first = replaced_task_.find(id); first != replaced_task_.end()) {
        const TaskId original = first->second;
        replaced_task_.erase(first);
        return on_client_disconnected(original);
    }
    const auto task = tasks_.find(id);
    if (task == tasks_.end() || hand_task_to_retry(task)) return;
    // The client is gone and the assignments are withdrawn, so how far they got will never be known.
    if (const Task& t = task->second; !t.retry_key.empty())
        t.in_flight > 0 || t.may_have_run ? execution_log_.on_may_have_run(net::Loop::now(), t.retry_key, id)
                                          : execution_log_.on_never_ran(t.retry_key, id);
    detach_requester(task);
    apply_event(ClientDisconnected{id});
    erase_if_finished(task);
}

void Dispatcher::on_call_ended(runners::CallEnded&& ended) {
    const auto task = tasks_.find(ended.task);
    if (task == tasks_.end()) return;
    --task->second.in_flight;
    if (ended.ending == net::CloseReason::out_of_sockets)
        log_.warning(net::Loop::now(), "runners: no descriptor or buffer left for an assignment");
    else if (ended.ending != net::CloseReason::done)
        log_.debug(net::Loop::now(), "runners: assignment of ",
                   log::field("request", task->second.request_id), " at ",
                   log::field("runner", book_.name_of(ended.runner)), " ended: ", net::name_of(ended.ending),
                   ", after ", log::field("ms", ended.elapsed / 1000), " ms");
    if (ended.ending != net::CloseReason::done) record_failure(task->second, ended);
    AssignmentEnded e;
    e.task = ended.task;
    e.elapsed = ended.elapsed;
    e.runner = ended.runner;
    e.assignment = ended.number;
    e.outcome = outcome_of(ended.ending);
    e.report = std::move(ended.report);
    task->second.may_have_run = task->second.may_have_run || !proves_never_ran(e.outcome);
    // The first result is sent to the client at once, without the Balancer.
    if (e.outcome == Outcome::finished && task->second.requester)
        answer_task(ended.task, clients::Answer::finished, ended.result, 0);
    e.task_answered = !task->second.requester;
    apply_event(e);
    erase_if_finished(task);
}

void Dispatcher::on_progress(TaskId task, int number, RunnerId runner, Stage stage, double share) {
    apply_event(Progress{task, share, runner, number, stage});
}

void Dispatcher::on_probe_ended(RunnerId runner, net::CloseReason ending, Micros elapsed, Report&& report) {
    apply_event(ProbeEnded{runner, outcome_of(ending), elapsed, std::move(report)});
}

// ---- Actions -----------------------------------------------------------------------------------------

void Dispatcher::end_turn() {
    if (drain_.phase() != drain::Phase::serving) update_drain();
    if (!pending_answers_.empty()) answer_pending_retries();
    if (tube_server_) tube_server_->update();
    // Events that executing an action causes, such as an assignment that is no longer needed, form a new
    // batch.
    while (std::exchange(has_new_events_, false)) {
        actions_.clear();
        balancer_.collect_actions(net::Loop::now(), actions_);
        if (shadow_) compare_shadow();
        for (const Action& action : std::exchange(actions_, {})) execute(action);
        if (tube_server_) tube_server_->update();
    }
    links_.erase_ended();
    server_.erase_ended();
    follower_.erase_ended();
    if (control_socket_) control_socket_->erase_ended();
    if (admin_server_) admin_server_->erase_ended_sessions();
    if (handover_) handover_->erase_ended_sessions();
    if (tube_server_) tube_server_->destroy_closed_sessions();
}

void Dispatcher::execute(const Action& action) {
    std::visit(
        Overloaded{[&](const Assign& a) { start_assignment(a); },
                   [&](const Bounce& a) { answer_task(a.task, clients::Answer::bounced, "", a.retry_after); },
                   [&](const Abandon& a) { answer_task(a.task, clients::Answer::abandoned, "", 0); },
                   [&](const Withdraw& a) {
                       links_.withdraw(a.task, a.assignment);
                       if (tube_server_) tube_server_->broker().withdraw(a.task, a.assignment);
                   },
                   [&](const WakeAt& a) { pending_timers_.emplace(a.at, a.timer), arm_timer(); },
                   [&](const Probe& a) { port_of(a.runner).probe(a.runner); },
                   [&](const CloseIdle& a) { port_of(a.runner).close_idle(a.runner); },
                   [&](const BroadcastToPeers& a) { peer_channel_.broadcast(a.payload); },
                   [&](const SendToPeer& a) { peer_channel_.send(a.to, a.payload); },
                   [&](const LogLine& a) {
                       const std::string text = with_runner_names(a.text);
                       log_.info(net::Loop::now(), "choice: ", text);
                       publish("choice", {{"text", json::Value(text)}});
                   },
                   [&](const WatchMembership& a) {
                       a.on ? follower_.follow(book_.follow_from()) : follower_.stop_following();
                   },
                   [&](const FetchMembership&) { follower_.fetch(); }},
        action);
}

// Replaces the number of a runner, as the Balancer logs it, by the runner's name.
std::string Dispatcher::with_runner_names(const std::string& text) const {
    constexpr std::string_view kPrefix = "runner ";
    const auto found = text.find(kPrefix);
    if (found == std::string::npos) return text;
    const char* const number_begin = text.data() + found + kPrefix.size();
    std::uint32_t number = 0;
    const auto [end, error] = std::from_chars(number_begin, text.data() + text.size(), number);
    if (error != std::errc()) return text;
    return text.substr(0, found + kPrefix.size()) + book_.name_of(RunnerId{number}) + end;
}

void Dispatcher::start_assignment(const Assign& action) {
    const auto task = tasks_.find(action.task);
    if (task == tasks_.end()) return;
    const int number = task->second.assignments++;
    ++task->second.in_flight;
    Micros stop_at =
        action.deadline > 0 ? std::min(action.deadline, task->second.expiry) : task->second.expiry;
    // At a shutdown nothing may be in flight when the process is killed, however late the task expires.
    if (drain_.is_shutting_down()) stop_at = std::min(stop_at, final_stop_at_);
    if (!task->second.requester || stop_at <= net::Loop::now()) {
        on_call_ended({action.task, number, action.runner, net::CloseReason::timed_out_unsent, 0, {}, {}});
        return;
    }
    runners::Transport& port = port_of(action.runner);
    if (tube_server_ && &port == &links_) tube_server_->broker().on_task_pushed(action.task);
    port.assign(action.runner, {action.task, number, task->second.request_id, task->second.request_head,
                                &task->second.body, stop_at});
}

void Dispatcher::answer_task(TaskId id, clients::Answer answer, std::string_view result, Micros retry_after) {
    const auto task = tasks_.find(id);
    if (task == tasks_.end() || !task->second.requester) return;
    frontend::TaskSource* const requester = task->second.requester;
    counters_.on_answered(workload_name(task->second.workload), answer);
    record_execution_end(id, task->second, answer, result);
    detach_requester(task);
    requester->on_answer(id, answer, result, retry_after);
    answer_joined_retries(id, answer, result, retry_after);
    if (answer != clients::Answer::finished) erase_if_finished(task);
}

void Dispatcher::detach_requester(Tasks::iterator task) {
    task->second.requester = nullptr;
    request_ids_.erase(task->second.request_id);
}

void Dispatcher::erase_if_finished(Tasks::iterator task) {
    if (!task->second.requester && task->second.in_flight == 0) tasks_.erase(task);
}

void Dispatcher::arm_timer() {
    if (!pending_timers_.empty()) module_timer_.set(pending_timers_.top().first);
}

void Dispatcher::on_timer() {
    const Micros now = net::Loop::now();
    while (!pending_timers_.empty() && pending_timers_.top().first <= now) {
        const TimerId timer = pending_timers_.top().second;
        pending_timers_.pop();
        if (timer == TimerId{})
            apply_event(TimerFired{timer});
        else
            follower_.follow(book_.follow_from());
    }
    arm_timer();
}

}  // namespace gannethold::dispatcher
