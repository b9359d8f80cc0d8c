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

// At a restart clients still come for a while after the signal, through a front that has not yet heard. In a
// restart of all in turn the one before may not be back by then, and who has a connection here has no other
// way: so kept ones are served for half of the stay.
constexpr Micros kStillComing = 600'000;  // at the least
// The system kills what has not ended in the longest time that a client waits, or three seconds, and a little
// more after the signal; no task may still be out then.
constexpr Micros kLongestStay = 3'000'000, kLastMinute = 400'000;
// Where another accepts from the same socket, idle connections are closed over so long: not all come anew at
// once.
constexpr Micros kHandingOver = 400'000;
constexpr Micros kFollowAgain = 500'000;

// Descriptors: ten are the process's own and discovery's, a few are for clients that are turned away. A task
// that is out needs two, one that waits only its client's; so runners have two fifths of the rest and clients
// three.
constexpr std::size_t kOwnSockets = 18;
std::size_t for_tasks(std::size_t sockets) { return sockets > kOwnSockets + 5 ? sockets - kOwnSockets : 5; }
std::size_t for_runners(std::size_t sockets) { return for_tasks(sockets) * 2 / 5; }

clients::ServerLimits server_limits(const Posting& posting, std::size_t sockets) {
    const SettingsReader stated(posting.orders);
    clients::ServerLimits r;
    r.sessions = for_tasks(sockets) - for_runners(sockets);
    r.tasks = static_cast<std::size_t>(std::max(1.0, stated.get_number("caps.max_open", 1e6)));
    if (stated.get_bool("caps.retry_after")) r.retry_after = stated.get_micros("caps.max_retry_after_us", 0);
    return r;
}

runners::PoolOptions upkeep(const Posting& posting, std::size_t sockets) {
    const SettingsReader stated(posting.orders);
    runners::PoolOptions u;
    u.connect_timeout =
        std::max<Micros>(1'000, stated.get_micros("caps.connect_timeout_us", u.connect_timeout));
    // A margin for a runner that counts from before its answer reached us.
    u.idle_timeout = stated.get_micros("caps.keepalive_us", 10'000'000) * 3 / 4;
    u.max_connections = for_runners(sockets);
    return u;
}

// What the connections of the other front and of operators' programs leave.
std::size_t sockets_left(const Posting& posting, const beanstalk::ServerSettings& tubes, std::size_t own) {
    const std::size_t theirs =
        (tubes.listeners.empty() ? 0 : tubes.max_connections + tubes.listeners.size()) +
        (posting.window ? admin::AdminServer::kMaxDescriptors : 0) +
        (posting.heirloom.empty() ? 0 : handover::Passage::kDescriptors);
    return own > theirs ? own - theirs : 1;
}

settings::WorkloadRegistry with_tubes(const Posting& posting, beanstalk::ServerSettings& tubes,
                                      beanstalk::TubeWorkloads& tube_workloads) {
    SettingsMap all = posting.orders;
    if (!tubes.listeners.empty()) tube_workloads = beanstalk::add_workloads(all, tubes.broker);
    return settings::WorkloadRegistry(all, posting.workloads());
}

template <class... Ts>
struct Match : Ts... {
    using Ts::operator()...;
};

}  // namespace

Dispatcher::Dispatcher(net::Loop& loop, const Posting& posting, log::Log& log, const Extras& extras)
    : loop_(loop),
      log_(log),
      posting_(posting),
      directory_(posting_.orders),
      tubes_(extras.tubes),
      workload_registry_(with_tubes(posting_, tubes_, tube_workloads_)),
      balancer_(workload_registry_.settings(), posting_.seed),
      book_(SettingsReader(posting_.orders).get_list("zones"),
            SettingsReader(posting_.orders).get_list("kinds"), log,
            !SettingsReader(posting_.orders).get_bool("rules.only_draining_binds")),
      follower_(
          loop, posting_.discovery, log,
          [this](const membership::EndpointList& l) {
              list_is_own_ = true;
              return heard(l, l.full ? UpdateScope::complete : UpdateScope::delta);
          },
          [this] {
              if (follows_by_itself_) wakes_.emplace(net::Loop::now() + kFollowAgain, TimerId{1}), set_wake();
              note(MembershipUpdate{UpdateScope::failed, book_.version(), {}});
          }),
      links_(loop, *this, runners::ReportDecoder(posting_.report_names),
             upkeep(posting_, sockets_left(posting_, tubes_, posting_.sockets))),
      post_(loop, posting_.neighbours,
            [this](PeerId from, std::string_view words) {
                note(PeerMessage{from, std::string(words)});
            }),
      server_(loop, net::ListenAddress(posting_.listen, posting_.inherited), directory_, *this,
              server_limits(posting_, sockets_left(posting_, tubes_, posting_.sockets)), log),
      wake_(loop, [this] { wake(); }),
      farewell_(loop, [this] { look_at_drain(); }),
      drain_(extras.manners),
      deduplication_(extras.deduplication),
      execution_log_(extras.deduplication),
      joined_timer_(loop, [this] { answer_owed(); }),
      watched_(extras.watched),
      watched_most_(extras.watched_most) {
    if (!watched_.empty())
        shadow_ =
            std::make_unique<shadow::Shadow>(over_ours(Posting::read_file(watched_)), extras.watched_every);
    if (!tubes_.listeners.empty())
        pullers_ = std::make_unique<beanstalk::Server>(loop, tubes_.listeners, tubes_.max_connections,
                                                       tubes_.broker, tube_workloads_.mapping, *this, log);
    if (extras.desk) desk_ = std::make_unique<control::ControlServer>(loop, *extras.desk, *this, log);
    if (posting_.window)
        admin_server_ = std::make_unique<admin::AdminServer>(loop, *posting_.window, *this, log);
    for (const auto& [name, id] : directory_.workloads) counters_.add_workload(name);
    heard(posting_.known, UpdateScope::cached);
    all_blocks_ = loop.block_pool().max_blocks();
    if (!posting_.heirloom.empty())
        passage_ = std::make_unique<handover::Passage>(loop, posting_.heirloom, posting_.name, *this, log);
    if (!extras.snapshot.folder.empty()) restore_snapshot(extras.snapshot);
    // Where changes come by themselves the module never asks, so the watch is ours to open.
    follows_by_itself_ = SettingsReader(posting_.orders).get_string("roster.how", "pushed") != "on_request";
    if (follows_by_itself_) follower_.follow(book_.follow_from());
    log_.info(net::Loop::now(), "serving as ", log::field("name", posting_.name), " on ",
              log::field("listen", posting_.listen.text), ", ",
              log::field("runners", posting_.known.entries.size()), " runners known");
}

void Dispatcher::run() {
    end_turn();
    loop_.run([this] { end_turn(); });
}

void Dispatcher::leave() {
    if (drain_.is_shutting_down()) return;
    const Micros left_at = net::Loop::now();
    Micros longest = 0;
    for (const auto& [name, id] : directory_.workloads) {
        const std::string expiry =
            "workloads." + std::to_string(static_cast<std::uint32_t>(id)) + ".expiry_us";
        longest =
            std::max(longest, SettingsReader(workload_registry_.settings()).get_micros(expiry, kLongestStay));
    }
    last_minute_ = left_at + std::min(longest, kLongestStay) + kLastMinute;
    links_.limit_deadlines(last_minute_);
    if (pullers_) pullers_->broker().limit_deadlines(last_minute_);
    log_.info(left_at, "leaving, ", log::field("tasks", tasks_.size()), " tasks under way");
    if (posting_.inherited) {
        // The socket outlives this process, and who else has it accepts. What waits in its queue is theirs to
        // take; so is whoever has a connection here, told so by the end of their answer or, idle, of the
        // connection.
        server_.stop_accepting();
        drain_.shut_down(left_at, last_minute_, left_at, kHandingOver);
    } else {
        drain_.shut_down(left_at, last_minute_,
                         left_at + std::max(kStillComing, (last_minute_ - left_at) / 2));
    }
    look_at_drain();
}

// What can change in service: discovery's address and the settings, but for what stands in
// differences_for_restart. All else that was learned, is held or is under way stays as it is, also the list
// of runners until the new discovery has spoken.
void Dispatcher::reload(const std::string& path) {
    const Micros now = net::Loop::now();
    Posting fresh, watched;
    settings::WorkloadRegistry::Change change;
    try {
        fresh = Posting::read_file(path);
        fresh.must_state_all_of(posting_);
        for (const std::string& name : posting_.differences_for_restart(fresh))
            log_.warning(now, "reload: ", log::field("setting", name), " differs, and needs a restart");
        fresh.keep_until_restart(posting_);
        if (shadow_) watched = Posting::read_file(watched_);
        if (fresh.orders != posting_.orders)
            change = workload_registry_.update(now, fresh.orders,
                                               [this](WorkloadId place) { return open(place); });
    } catch (const std::exception& e) {
        // Against a file that is missing, half written or wrong: what serves goes on as it was, whole.
        counters_.on_reload_rejected();
        return log_.warning(now, "reload: ", e.what(), "; the old configuration stays");
    }
    counters_.on_reload_applied();
    if (fresh.orders != posting_.orders)
        restate(fresh, change);
    else
        log_.info(now, "reload: the settings stay");
    if (shadow_) shadow_->skip(), shadow_->restate(over_ours(watched));
    if (fresh.discovery.text == posting_.discovery.text) return log_.info(now, "reload: discovery stays");
    log_.info(now, "reload: discovery moves from ", log::field("from", posting_.discovery.text), " to ",
              log::field("to", fresh.discovery.text));
    posting_.discovery = fresh.discovery;
    follower_.set_address(posting_.discovery);
    book_.reset_version();
    follower_.follow(book_.follow_from());
}

bool Dispatcher::open(WorkloadId place) const {
    // A tube that shares a workload shares the terms that it had at the start.
    const auto& named = tube_workloads_.mapping.by_name;
    return std::any_of(named.begin(), named.end(),
                       [place](const auto& tube) { return tube.second == place; }) ||
           std::any_of(tasks_.begin(), tasks_.end(),
                       [place](const auto& task) { return task.second.workload == place; });
}

// What the connections of each kind may take, of what this process may hold for now.
void Dispatcher::share_out() {
    const std::size_t sockets = sockets_left(posting_, tubes_, own_part(posting_.sockets));
    server_.update_limits(server_limits(posting_, sockets));
    links_.update_options(upkeep(posting_, sockets));
}

// Who is under way goes on by the old terms, whoever comes from now on by the new.
void Dispatcher::restate(const Posting& fresh, const settings::WorkloadRegistry::Change& change) {
    const Micros now = net::Loop::now();
    posting_.orders = fresh.orders, posting_.stated = fresh.stated;
    directory_ = clients::Directory(posting_.orders, workload_registry_.active_workloads());
    for (const auto& [name, id] : directory_.workloads) counters_.add_workload(name);
    share_out();
    note(SettingsChanged{workload_registry_.settings(), change.learn_from});
    const auto list = [](const std::vector<std::string>& names) {
        std::string all;
        for (const std::string& name : names) all += (all.empty() ? "" : ", ") + name;
        return all.empty() ? std::string("none") : all;
    };
    log_.info(now, "reload: new settings; workloads added: ", log::field("added", list(change.added)),
              "; dropped: ", log::field("dropped", list(change.dropped)),
              "; changed: ", log::field("changed", list(change.changed)));
}

// Carries out what the drain wants now: of the front, of the connections, and of whoever still waits.
void Dispatcher::look_at_drain() {
    const Micros now = net::Loop::now();
    const drain::DrainDirective wanted =
        drain_.evaluate(now, {unanswered(), server_.busy_count() + (pullers_ && !pullers_->is_idle())});
    if (pullers_) {
        // A producer keeps its job, and needs no front to be told: from the order on, and at a restart once
        // others are told.
        pullers_->broker().set_rejects_puts(drain_.is_shutting_down()
                                                ? wanted.closes_after_response
                                                : drain_.phase() != drain::Phase::serving);
        pullers_->broker().set_dispatches_jobs(
            drain_.phase() == drain::Phase::serving ||
            (drain_.phase() == drain::Phase::draining && !wanted.answers_waiting_tasks));
        if (wanted.closes_after_response && drain_.is_shutting_down()) pullers_->shut_down();
    }
    healthy_ = wanted.is_healthy;
    if (!server_.is_shutting_down())
        server_.set_drain_behavior(
            {wanted.is_healthy, wanted.rejects_new_tasks, wanted.closes_after_response});
    if (wanted.closes_after_response && drain_.is_shutting_down() && wanted.idle_fraction_to_keep <= 0) {
        if (!server_.is_shutting_down()) server_.begin_shutdown();
    } else if (wanted.closes_after_response) {
        if (!std::exchange(closing_, true)) idle_at_closing_ = server_.idle_count();
        server_.close_idle_beyond(
            static_cast<std::size_t>(static_cast<double>(idle_at_closing_) * wanted.idle_fraction_to_keep));
    } else {
        closing_ = false;
    }
    // Against a task that waits to the end: it cannot any more, and silence would lose it. Whether it may
    // have run is the module's to know, so each answer is the honest one, and what is still out is withdrawn.
    if (wanted.answers_waiting_tasks) note(DrainDeadline{});
    if (drain_.phase() != told_phase_) {
        told_phase_ = drain_.phase();
        log_.info(now, "drain: ", log::field("phase", drain::name_of(told_phase_)), ", ",
                  log::field("tasks", unanswered()), " tasks wait");
        publish("drain", tell_drain());
    }
    if (wanted.should_exit) {
        if (snapshot_scheduler_) snapshot_scheduler_->write_final();
        log_.info(now, "left after ", log::field("ms", (now - drain_.changed_at()) / 1000), " ms");
        return loop_.stop();
    }
    if (wanted.next_evaluation_at > 0)
        farewell_.set(wanted.next_evaluation_at);
    else
        farewell_.cancel();
}

// ---- what comes in -----------------------------------------------------------------------------------

void Dispatcher::note(const Event& event) {
    if (shadow_) watch_turn(event);
    balancer_.apply(net::Loop::now(), event);
    noted_ = true;
}

bool Dispatcher::heard(const membership::EndpointList& listing, UpdateScope scope) {
    auto news = book_.apply(listing, scope, net::Loop::now());
    if (!news) return false;
    holds_.apply_to(*news, book_);
    for (const auto& seat : news->targets)
        links_.set_endpoint(seat.runner, seat.address, seat.open, seat.restarted);
    if (pullers_)
        for (EndpointEntry& e : news->update.entries) e.workloads = tube_workloads_.pushed_workloads;
    guests_.apply_to(news->update, holds_, book_);
    note(news->update);
    if (passage_ && passage_->has_heirs())
        passage_->tell({handover::Kind::list, membership::format_endpoint_list(book_.to_list())});
    return true;
}

TaskId Dispatcher::submit(frontend::TaskSource& asker, frontend::SubmittedTask&& request,
                          net::BlockBuffer&& body, Micros came_at) {
    const TaskId id{++tasks_taken_};
    if (deduplication_.is_enabled && take_as_repeat(id, asker, request, came_at + request.timeout)) return id;
    std::string lines;
    if (request.can_push) {
        auto head = http::Writer::request(request.method, request.target);
        head.field("Host", "runner").field("X-Request-ID", request.id);
        if (!request.fingerprint.empty()) head.field("Idempotency-Key", request.fingerprint);
        if (!request.content_type.empty()) head.field("Content-Type", request.content_type);
        head.content_length(body.size());
        lines = head.head();
        lines.resize(lines.size() - 2);  // the empty line comes after the time it has
    }

    TaskArrived arrived;
    arrived.task = id;
    arrived.workload = request.workload;
    arrived.customer = request.customer;
    arrived.key = request.key;
    arrived.expiry = came_at + request.timeout;
    arrived.cost_hint = request.cost_hint;
    arrived.hint_valid = request.cost_hint > 0;
    arrived.slots = request.slots;
    arrived.memory = request.memory;
    arrived.client_retry = request.is_retry;
    std::string sign = deduplication_.is_enabled ? sign_of(request) : "";
    if (!sign.empty()) execution_log_.on_started(net::Loop::now(), sign, id);
    ids_.insert(request.id);
    tasks_.emplace(id, Task{&asker, std::move(request.id), std::move(lines), std::move(body), arrived.expiry,
                            request.workload, came_at, 0, 0, false, std::move(sign)});
    note(arrived);
    return id;
}

void Dispatcher::on_client_disconnected(TaskId id) {
    if (left_joined(id)) return;
    if (const auto first = stands_for_.find(id); first != stands_for_.end()) {
        const TaskId stood_for = first->second;
        stands_for_.erase(first);
        return on_client_disconnected(stood_for);
    }
    const auto task = tasks_.find(id);
    if (task == tasks_.end() || pass_on(task)) return;
    // Nobody waits any more, and what is out is withdrawn: how far it came nobody will hear.
    if (const Task& t = task->second; !t.sign.empty())
        t.out > 0 || t.ran ? execution_log_.on_may_have_run(net::Loop::now(), t.sign, id)
                           : execution_log_.on_never_ran(t.sign, id);
    end_asking(task);
    note(ClientDisconnected{id});
    forget_if_over(task);
}

void Dispatcher::on_call_ended(runners::CallEnded&& ended) {
    const auto task = tasks_.find(ended.task);
    if (task == tasks_.end()) return;
    --task->second.out;
    if (ended.ending == net::CloseReason::out_of_sockets)
        log_.warning(net::Loop::now(), "runners: no descriptor or buffer left for an assignment");
    else if (ended.ending != net::CloseReason::done)
        log_.debug(net::Loop::now(), "runners: assignment of ",
                   log::field("request", task->second.request_id), " at ",
                   log::field("runner", book_.name_of(ended.runner)), " ended: ", net::name_of(ended.ending),
                   ", after ", log::field("ms", ended.elapsed / 1000), " ms");
    if (ended.ending != net::CloseReason::done) keep_failure(task->second, ended);
    AssignmentEnded e;
    e.task = ended.task;
    e.elapsed = ended.elapsed;
    e.runner = ended.runner;
    e.assignment = ended.number;
    e.outcome = outcome_of(ended.ending);
    e.report = std::move(ended.report);
    task->second.ran = task->second.ran || !proves_never_ran(e.outcome);
    // The first result goes to the client by itself.
    if (e.outcome == Outcome::finished && task->second.asker)
        answer(ended.task, clients::Answer::finished, ended.result, 0);
    e.task_answered = !task->second.asker;
    note(e);
    forget_if_over(task);
}

void Dispatcher::on_progress(TaskId task, int number, RunnerId runner, Stage stage, double share) {
    note(Progress{task, share, runner, number, stage});
}

void Dispatcher::on_probe_ended(RunnerId runner, net::CloseReason ending, Micros elapsed, Report&& report) {
    note(ProbeEnded{runner, outcome_of(ending), elapsed, std::move(report)});
}

// ---- what goes out -----------------------------------------------------------------------------------

void Dispatcher::end_turn() {
    if (drain_.phase() != drain::Phase::serving) look_at_drain();
    if (!owed_.empty()) answer_owed();
    if (pullers_) pullers_->update();
    // What carrying out brings at once, such as an assignment that is moot, is a batch of its own.
    while (std::exchange(noted_, false)) {
        actions_.clear();
        balancer_.collect_actions(net::Loop::now(), actions_);
        if (shadow_) watch_settled();
        for (const Action& action : std::exchange(actions_, {})) carry_out(action);
        if (pullers_) pullers_->update();
    }
    links_.erase_ended();
    server_.erase_ended();
    follower_.erase_ended();
    if (desk_) desk_->erase_ended();
    if (admin_server_) admin_server_->erase_ended_sessions();
    if (passage_) passage_->sweep();
    if (pullers_) pullers_->destroy_closed_sessions();
}

void Dispatcher::carry_out(const Action& action) {
    std::visit(Match{[&](const Assign& a) { assign(a); },
                     [&](const Bounce& a) { answer(a.task, clients::Answer::bounced, "", a.retry_after); },
                     [&](const Abandon& a) { answer(a.task, clients::Answer::abandoned, "", 0); },
                     [&](const Withdraw& a) {
                         links_.withdraw(a.task, a.assignment);
                         if (pullers_) pullers_->broker().withdraw(a.task, a.assignment);
                     },
                     [&](const WakeAt& a) { wakes_.emplace(a.at, a.timer), set_wake(); },
                     [&](const Probe& a) { port_of(a.runner).probe(a.runner); },
                     [&](const CloseIdle& a) { port_of(a.runner).close_idle(a.runner); },
                     [&](const BroadcastToPeers& a) { post_.tell_all(a.payload); },
                     [&](const SendToPeer& a) { post_.tell(a.to, a.payload); },
                     [&](const LogLine& a) {
                         const std::string text = with_names(a.text);
                         log_.info(net::Loop::now(), "choice: ", text);
                         publish("choice", {{"text", json::Value(text)}});
                     },
                     [&](const WatchMembership& a) {
                         a.on ? follower_.follow(book_.follow_from()) : follower_.stop_following();
                     },
                     [&](const FetchMembership&) { follower_.fetch(); }},
               action);
}

// The module knows runners by number, the operators by name.
std::string Dispatcher::with_names(const std::string& text) const {
    constexpr std::string_view kBefore = "runner ";
    const auto found = text.find(kBefore);
    if (found == std::string::npos) return text;
    const char* const begun = text.data() + found + kBefore.size();
    std::uint32_t number = 0;
    const auto [end, wrong] = std::from_chars(begun, text.data() + text.size(), number);
    if (wrong != std::errc()) return text;
    return text.substr(0, found + kBefore.size()) + book_.name_of(RunnerId{number}) + end;
}

void Dispatcher::assign(const Assign& wanted) {
    const auto task = tasks_.find(wanted.task);
    if (task == tasks_.end()) return;
    const int number = task->second.assignments++;
    ++task->second.out;
    Micros stop_at =
        wanted.deadline > 0 ? std::min(wanted.deadline, task->second.expiry) : task->second.expiry;
    // At a restart nothing may still be out when the process is killed, whatever time its task has left.
    if (drain_.is_shutting_down()) stop_at = std::min(stop_at, last_minute_);
    if (!task->second.asker || stop_at <= net::Loop::now()) {
        on_call_ended({wanted.task, number, wanted.runner, net::CloseReason::timed_out_unsent, 0, {}, {}});
        return;
    }
    runners::Transport& port = port_of(wanted.runner);
    if (pullers_ && &port == &links_) pullers_->broker().on_task_pushed(wanted.task);
    port.assign(wanted.runner, {wanted.task, number, task->second.request_id, task->second.head,
                                &task->second.body, stop_at});
}

void Dispatcher::answer(TaskId id, clients::Answer answer, std::string_view result, Micros retry_after) {
    const auto task = tasks_.find(id);
    if (task == tasks_.end() || !task->second.asker) return;
    frontend::TaskSource* const asker = task->second.asker;
    counters_.on_answered(workload_name(task->second.workload), answer);
    note_end(id, task->second, answer, result);
    end_asking(task);
    asker->on_answer(id, answer, result, retry_after);
    answer_joined(id, answer, result, retry_after);
    if (answer != clients::Answer::finished) forget_if_over(task);
}

void Dispatcher::end_asking(Tasks::iterator task) {
    task->second.asker = nullptr;
    ids_.erase(task->second.request_id);
}

void Dispatcher::forget_if_over(Tasks::iterator task) {
    if (!task->second.asker && task->second.out == 0) tasks_.erase(task);
}

void Dispatcher::set_wake() {
    if (!wakes_.empty()) wake_.set(wakes_.top().first);
}

void Dispatcher::wake() {
    const Micros now = net::Loop::now();
    while (!wakes_.empty() && wakes_.top().first <= now) {
        const TimerId mark = wakes_.top().second;
        wakes_.pop();
        if (mark == TimerId{})
            note(TimerFired{mark});
        else
            follower_.follow(book_.follow_from());
    }
    set_wake();
}

}  // namespace gannethold::dispatcher
