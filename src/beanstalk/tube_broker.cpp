#include "beanstalk/tube_broker.hpp"

#include <algorithm>
#include <utility>

#include "beanstalk/replies.hpp"

namespace gannethold::beanstalk {

using queue::Job;
using queue::JobId;
using queue::State;
using queue::Tube;
using queue::TubeId;

namespace {

constexpr Micros kSecond = 1'000'000;
constexpr Micros kMinReserveWait = 10'000;  // the balancer assigns jobs only at the end of a loop turn
constexpr Micros kReserveJobTimeout = kSecond;
constexpr Micros kMaxBounceDelay = kSecond;        // a worker may become free at any time
constexpr std::size_t kMaxDueJobsPerTurn = 2'000;  // 100,000 at once would block the loop
constexpr std::size_t kMaxWatchedTubes = 64;

std::uint64_t number(JobId id) { return static_cast<std::uint64_t>(id); }
std::uint64_t seconds(Micros span) { return static_cast<std::uint64_t>(std::max<Micros>(0, span) / kSecond); }
Micros micros(std::uint32_t count) { return static_cast<Micros>(count) * kSecond; }

}  // namespace

TubeBroker::TubeBroker(BrokerSettings settings, TubeMapping mapping, BrokerCallbacks& callbacks)
    : settings_(std::move(settings)),
      mapping_(std::move(mapping)),
      callbacks_(callbacks),
      queue_(settings_.queue_limits) {
    queue_.add_user(*find_or_create_tube("default"));
}

// ---- tubes ----

std::optional<TubeId> TubeBroker::find_or_create_tube(const std::string& name) {
    if (const auto known = queue_.find_tube(name)) return known;
    const auto configured = mapping_.by_name.find(name);
    if (configured == mapping_.by_name.end() && mapping_.unassigned.empty()) return std::nullopt;
    const auto tube = queue_.find_or_create_tube(name);
    if (!tube) return std::nullopt;
    tube_states_.resize(std::max(tube_states_.size(), static_cast<std::size_t>(*tube) + 1));
    TubeState& state = tube_state(*tube) = {};
    const auto plan = std::find_if(settings_.tubes.begin(), settings_.tubes.end(),
                                   [&](const TubePlan& plan) { return plan.name == name; });
    state.plan = plan != settings_.tubes.end() ? &*plan : &settings_.default_plan;
    if (configured != mapping_.by_name.end()) return state.workload = configured->second, tube;
    state.workload = mapping_.unassigned.back();
    state.owns_workload = true;
    mapping_.unassigned.pop_back();
    return tube;
}

void TubeBroker::release_tube(TubeId tube) {
    const TubeState state = tube_state(tube);
    if (queue_.remove_user(tube) && state.owns_workload) mapping_.unassigned.push_back(state.workload);
}

void TubeBroker::remove_job(Job& job) {
    const TubeState state = tube_state(job.tube);
    if (queue_.remove(job) && state.owns_workload) mapping_.unassigned.push_back(state.workload);
}

WorkloadSet TubeBroker::served_workloads(const Session& session) const {
    WorkloadSet all;
    const auto add = [&](WorkloadId w) {
        if (static_cast<std::size_t>(w) < all.size()) all.set(static_cast<std::size_t>(w));
    };
    if (session.requested_job != JobId{}) {
        // Only the requested job, in a workload that no other worker serves.
        for (const auto& [effect, requests] : job_requests_)
            if (!requests.empty() && requests.front() == session.id) add(mapping_.by_effect.at(effect));
        return all;
    }
    for (const TubeId tube : session.watched) add(tube_states_[static_cast<std::size_t>(tube)].workload);
    return all;
}

void TubeBroker::update_group(Session& session) {
    if (session.group && --session.group->members == 0) {
        changed_groups_.erase(session.group);
        groups_.erase(session.group->tubes);
    }
    session.group = nullptr;
    if (session.watched.empty()) return;
    std::vector<TubeId> tubes = session.watched;
    std::sort(tubes.begin(), tubes.end());
    session.group = &groups_[tubes];
    session.group->tubes = std::move(tubes);
    ++session.group->members;
    if (session.is_worker) callbacks_.set_worker_workloads(session.worker, served_workloads(session));
}

// ---- sessions ----

void TubeBroker::on_session_opened(Micros now, SessionId id) {
    if (started_at_ < 0) started_at_ = now;
    Session& session = sessions_[id];
    ++total_sessions_;
    session.id = id;
    session.used = *find_or_create_tube("default");
    session.watched = {session.used};
    queue_.add_user(session.used), queue_.add_user(session.used);
    update_group(session);
}

void TubeBroker::on_session_closed(Micros now, SessionId id) {
    const auto found = sessions_.find(id);
    if (found == sessions_.end()) return;
    now_ = now;
    Session& session = found->second;
    if (session.requested_job != JobId{}) cancel_job_request(session);
    if (session.waiting) set_waiting(session, false);
    // It is unknown how far a worker got with the jobs that it held when it disconnected.
    for (auto held = held_.begin(); session.held_jobs > 0 && held != held_.end();) {
        const auto next = std::next(held);
        if (held->first.second == id) end_held(held, net::CloseReason::broken);
        held = next;
    }
    if (session.is_worker) {
        callbacks_.remove_worker(session.worker);
        workers_.erase(session.worker);
    }
    process_changes();  // requeues jobs submitted for this session while its group still exists
    for (const TubeId tube : std::exchange(session.watched, {})) release_tube(tube);
    release_tube(session.used);
    update_group(session);
    sessions_.erase(found);
    process_changes();
}

bool TubeBroker::is_waiting(SessionId id) const {
    const auto found = sessions_.find(id);
    return found != sessions_.end() && found->second.waiting;
}

bool TubeBroker::has_sent_command(SessionId id) const {
    const auto found = sessions_.find(id);
    return found != sessions_.end() && found->second.has_sent_command;
}

void TubeBroker::set_waiting(Session& session, bool is_waiting) {
    if (session.waiting == is_waiting) return;
    session.waiting = is_waiting;
    if (session.wait_until > 0)
        is_waiting ? void(reserve_timeouts_.emplace(session.wait_until, session.id))
                   : void(reserve_timeouts_.erase({session.wait_until, session.id}));
    if (session.requested_job == JobId{}) {
        session.group->waiting += is_waiting ? 1 : static_cast<std::size_t>(-1);
        changed_groups_.insert(session.group);
    }
    report_capacity(session);
}

void TubeBroker::report_capacity(const Session& session) const {
    if (session.is_worker)
        callbacks_.set_worker_slots(session.worker,
                                    static_cast<double>(session.held_jobs + (session.waiting ? 1 : 0)));
}

void TubeBroker::resend_capacity(RunnerId worker) const {
    if (const auto found = workers_.find(worker); found != workers_.end())
        report_capacity(sessions_.at(found->second));
}

void TubeBroker::on_command(Micros now, SessionId id, ParseResult result, Command&& command) {
    advance(now);
    const auto entry = sessions_.find(id);
    if (entry == sessions_.end()) return;
    Session& session = entry->second;
    switch (result) {
        case ParseResult::incomplete:
            return;
        case ParseResult::command:
            break;
        case ParseResult::bad_format:
            return reply(session, "BAD_FORMAT\r\n");
        case ParseResult::unknown_command:
            return reply(session, "UNKNOWN_COMMAND\r\n");
        case ParseResult::expected_crlf:
            return reply(session, "EXPECTED_CRLF\r\n");
        case ParseResult::job_too_big:
            return reply(session, "JOB_TOO_BIG\r\n");
    }
    session.has_sent_command = true;
    ++command_counts_[static_cast<std::size_t>(command.verb)];
    execute(now, session, std::move(command));
    process_changes();
}

void TubeBroker::execute(Micros now, Session& session, Command&& command) {
    switch (command.verb) {
        case Verb::put:
            return put(now, session, std::move(command));
        case Verb::use: {
            const auto tube = find_or_create_tube(command.tube);
            if (!tube) return reply(session, "OUT_OF_MEMORY\r\n");
            queue_.add_user(*tube);
            release_tube(std::exchange(session.used, *tube));
            return reply(session, "USING " + command.tube + "\r\n");
        }
        case Verb::reserve:
            return reserve(now, session, 0);
        case Verb::reserve_with_timeout:
            return reserve(now, session, now + std::max(kMinReserveWait, micros(command.seconds)));
        case Verb::reserve_job:
            return reserve_job(now, session, JobId{command.id});
        case Verb::remove:
            return remove(now, session, JobId{command.id});
        case Verb::release:
            return release(now, session, command);
        case Verb::bury:
            return bury(now, session, command);
        case Verb::touch:
            return touch(now, session, JobId{command.id});
        case Verb::watch:
            return watch(session, command.tube);
        case Verb::ignore:
            return ignore(session, command.tube);
        case Verb::peek:
            return peek(session, queue_.find(JobId{command.id}));
        case Verb::peek_ready:
            return peek(session, queue_.at(session.used).ready.first());
        case Verb::peek_delayed:
            return peek(session, queue_.at(session.used).delayed.first());
        case Verb::peek_buried: {
            const Tube& tube = queue_.at(session.used);
            return peek(session, tube.buried.first() ? tube.buried.first() : tube.withheld.first());
        }
        case Verb::kick:
            return kick(session, command.count);
        case Verb::kick_job: {
            Job* const job = queue_.find(JobId{command.id});
            return reply(session, job && kick_job(*job, false) ? "KICKED\r\n" : "NOT_FOUND\r\n");
        }
        case Verb::stats:
            return reply_stats(now, session);
        case Verb::stats_job:
            return reply_stats_job(now, session, JobId{command.id});
        case Verb::stats_tube:
            return reply_stats_tube(now, session, command.tube);
        case Verb::list_tubes: {
            Yaml all;
            queue_.for_each_tube([&](TubeId, const Tube& tube) { all.item(tube.name); });
            return reply(session, all.to_reply());
        }
        case Verb::list_tube_used:
            return reply(session, "USING " + queue_.at(session.used).name + "\r\n");
        case Verb::list_tubes_watched: {
            Yaml all;
            for (const TubeId tube : session.watched) all.item(queue_.at(tube).name);
            return reply(session, all.to_reply());
        }
        case Verb::pause_tube:
            return pause(now, session, command);
        case Verb::quit:
            return callbacks_.close(session.id);
    }
}

// ---- producers ----

void TubeBroker::put(Micros now, Session& session, Command&& command) {
    session.is_producer = true;
    if (rejects_puts_) return reply(session, "DRAINING\r\n");
    const Micros time_to_run = std::max(settings_.min_time_to_run, micros(command.time_to_run_s));
    const auto id = queue_.put(now, session.used, command.priority, micros(command.delay_s), time_to_run,
                               std::move(command.body));
    if (!id) return reply(session, "OUT_OF_MEMORY\r\n");
    ++total_jobs_;
    // Confirmed only once the job is stored. Jobs are kept in memory and do not survive a restart.
    reply(session, with_id("INSERTED", number(*id)));
    if (command.delay_s > 0) schedule(now + micros(command.delay_s));
    mark_changed(session.used);
}

Micros TubeBroker::schedule(Micros at) {
    return next_queue_change_ = next_queue_change_ > 0 ? std::min(next_queue_change_, at) : at;
}

void TubeBroker::watch(Session& session, const std::string& name) {
    const auto tube = find_or_create_tube(name);
    if (!tube || session.watched.size() >= kMaxWatchedTubes) return reply(session, "OUT_OF_MEMORY\r\n");
    if (std::find(session.watched.begin(), session.watched.end(), *tube) == session.watched.end()) {
        queue_.add_user(*tube);
        session.watched.push_back(*tube);
        update_group(session);
    }
    reply(session, "WATCHING " + std::to_string(session.watched.size()) + "\r\n");
}

void TubeBroker::ignore(Session& session, const std::string& name) {
    const auto tube = queue_.find_tube(name);
    const auto found =
        tube ? std::find(session.watched.begin(), session.watched.end(), *tube) : session.watched.end();
    if (found != session.watched.end()) {
        if (session.watched.size() == 1) return reply(session, "NOT_IGNORED\r\n");
        session.watched.erase(found);
        update_group(session);
        release_tube(*tube);
    }
    reply(session, "WATCHING " + std::to_string(session.watched.size()) + "\r\n");
}

// ---- workers ----

void TubeBroker::reserve(Micros now, Session& session, Micros until) {
    for (const auto& [deadline, key] : deadlines_) {
        if (session.held_jobs == 0 || deadline - now > settings_.deadline_margin) break;
        if (key.second == session.id) return reply(session, "DEADLINE_SOON\r\n");
    }
    if (!session.is_worker) {
        session.worker =
            callbacks_.add_worker(session.id, served_workloads(session), settings_.workers_start_cold);
        session.is_worker = true;
        workers_[session.worker] = session.id;
    }
    session.wait_until = until;
    set_waiting(session, true);
}

// The balancer also decides on a job that is reserved by id: the job is submitted to a workload that only
// this worker serves.
void TubeBroker::reserve_job(Micros now, Session& session, JobId id) {
    Job* const job = queue_.find(id);
    // A job that is reserved elsewhere is not available, nor one that may have run, unless an operator kicks
    // it.
    if (!job || job->may_have_run || (job->state == State::reserved && !submitted_.contains(id)))
        return reply(session, "NOT_FOUND\r\n");
    if (!mapping_.by_effect.contains(tube_state(job->tube).plan->effect))
        return reply(session, "NOT_FOUND\r\n");
    if (!session.is_worker) {
        session.worker =
            callbacks_.add_worker(session.id, served_workloads(session), settings_.workers_start_cold);
        session.is_worker = true;
        workers_[session.worker] = session.id;
    }
    session.requested_job = id;
    session.wait_until = now + kReserveJobTimeout;
    set_waiting(session, true);
    const std::string effect = tube_state(job->tube).plan->effect;
    auto& requests = job_requests_[effect];
    requests.push_back(session.id);
    // Until it is this worker's turn it serves no workload, so that it gets no job that it did not request.
    requests.size() == 1 ? submit_requested(effect)
                         : callbacks_.set_worker_workloads(session.worker, served_workloads(session));
}

void TubeBroker::submit_requested(const std::string& effect) {
    auto& requests = job_requests_[effect];
    while (!requests.empty()) {
        Session& session = sessions_.at(requests.front());
        Job* const job = queue_.find(session.requested_job);
        session.requested_from = job && job->state != State::reserved ? job->state : State::ready;
        const bool is_available =
            job && !job->may_have_run && (job->state != State::reserved || withdraw_submitted(*job));
        if (is_available) {
            callbacks_.set_worker_workloads(session.worker, served_workloads(session));
            const TaskId task = callbacks_.submit_task(
                *job, queue_.at(job->tube).name, *tube_state(job->tube).plan, mapping_.by_effect.at(effect));
            if (task != TaskId{}) {
                queue_.reserve(*job, task);
                job_by_task_[task] = job->id;
                submitted_[job->id] = nullptr;
                return;
            }
        }
        requests.pop_front();
        session.requested_job = {};
        set_waiting(session, false);
        callbacks_.set_worker_workloads(session.worker, served_workloads(session));
        reply(session, "NOT_FOUND\r\n");
    }
}

// Ends a session's reserve-job: it has the job, its timeout has passed, or it has disconnected.
void TubeBroker::cancel_job_request(Session& session) {
    const JobId id = std::exchange(session.requested_job, JobId{});
    if (session.waiting) {
        session.requested_job = id;
        set_waiting(session, false);
        session.requested_job = {};
    }
    for (auto& [effect, requests] : job_requests_) {
        const auto found = std::find(requests.begin(), requests.end(), session.id);
        if (found == requests.end()) continue;
        const bool was_first = found == requests.begin();
        requests.erase(found);
        callbacks_.set_worker_workloads(session.worker, served_workloads(session));
        if (!was_first) return;
        if (Job* const job = queue_.find(id);
            job && withdraw_submitted(*job) && session.requested_from != State::ready) {
            // Restores the job's state from before the request.
            queue_.reserve(*job, {});
            if (session.requested_from == State::buried)
                queue_.bury(*job), --job->buries;
            else
                queue_.delay(*job, now_, std::max<Micros>(1, job->due_at - now_)), schedule(job->due_at);
        }
        return submit_requested(effect);
    }
}

void TubeBroker::assign(RunnerId runner, runners::PendingCall&& errand) {
    const auto worker = workers_.find(runner);
    Session* const session = worker == workers_.end() ? nullptr : &sessions_.at(worker->second);
    // The assignment crossed the end of the reserve: the worker never received the job.
    if (!session || !session->waiting || errand.deadline <= now_)
        return callbacks_.on_call_ended(
            {errand.task, errand.number, runner, net::CloseReason::timed_out_unsent, 0, {}, {}});
    const auto known = job_by_task_.find(errand.task);
    const bool from_queue = known != job_by_task_.end();
    const JobId id = from_queue ? known->second : queue_.next_id();
    HeldJob held;
    held.session_id = session->id, held.worker = runner, held.since = now_, held.from_queue = from_queue;
    held.time_to_run = from_queue ? queue_.find(id)->time_to_run : errand.deadline - now_;
    held.errand = std::move(errand);
    held_by_task_[held.errand.task].push_back({id, session->id});
    const auto entry = held_.emplace(HeldKey{id, session->id}, std::move(held)).first;
    set_deadline(entry, now_ + entry->second.time_to_run);
    const bool has_request = session->requested_job != JobId{};
    forget_submitted(id);
    ++session->held_jobs;
    // One held job more and one pending reserve less: the reported capacity does not change.
    if (has_request)
        cancel_job_request(*session);
    else
        set_waiting(*session, false);
    if (from_queue) ++queue_.find(id)->reserves;
    reply_reserved(entry);
    process_changes();
}

void TubeBroker::reply_reserved(HeldJobs::iterator held) {
    const auto& [id, session_id] = held->first;
    const HeldJob& held_job = held->second;
    if (const Job* const job = held_job.from_queue ? queue_.find(id) : nullptr)
        return callbacks_.send(session_id, with_body("RESERVED", number(id), job->body));
    callbacks_.send(session_id, with_body("RESERVED", number(id),
                                          held_job.errand.body ? held_job.errand.body->to_string() : ""));
}

void TubeBroker::set_deadline(HeldJobs::iterator entry, Micros deadline) {
    auto& [key, held] = *entry;
    deadlines_.erase({held.deadline, key});
    deadline_warnings_.erase({held.deadline - settings_.deadline_margin, key});
    held.deadline = std::min(deadline, held.errand.deadline);
    deadlines_.emplace(held.deadline, key);
    deadline_warnings_.emplace(held.deadline - settings_.deadline_margin, key);
}

// The only place where a reservation ends. The balancer decides what happens to the task.
void TubeBroker::end_held(HeldJobs::iterator entry, net::CloseReason ending) {
    const auto [id, session_id] = entry->first;
    const HeldJob held = std::move(entry->second);
    deadlines_.erase({held.deadline, entry->first});
    deadline_warnings_.erase({held.deadline - settings_.deadline_margin, entry->first});
    if (const auto all = held_by_task_.find(held.errand.task); all != held_by_task_.end()) {
        std::erase(all->second, entry->first);
        if (all->second.empty()) held_by_task_.erase(all);
    }
    held_.erase(entry);
    Session& session = sessions_.at(session_id);
    --session.held_jobs;
    report_capacity(session);
    callbacks_.on_call_ended(
        {held.errand.task, held.errand.number, held.worker, ending, now_ - held.since, {}, {}});
    // An idempotent job whose worker is lost or late is queued in its tube again and may go to any worker,
    // including the same one. For all other jobs the balancer decides.
    const bool may_have_run = ending == net::CloseReason::timed_out || ending == net::CloseReason::broken;
    Job* const job = may_have_run && held.from_queue ? queue_.find(id) : nullptr;
    if (job && job->task == held.errand.task && tube_state(job->tube).plan->is_idempotent() &&
        !held_by_task_.contains(job->task))
        requeue(id);
}

void TubeBroker::withdraw(TaskId task, int number) {
    const auto found = held_by_task_.find(task);
    if (found == held_by_task_.end()) return;
    for (const HeldKey& key : found->second) {
        const auto held = held_.find(key);
        if (held == held_.end() || held->second.errand.number != number) continue;
        return end_held(held, net::CloseReason::cancelled);
    }
}

void TubeBroker::limit_deadlines(Micros at) {
    for (auto held = held_.begin(); held != held_.end(); ++held) {
        held->second.errand.deadline = std::min(held->second.errand.deadline, at);
        set_deadline(held, held->second.deadline);
    }
}

void TubeBroker::remove(Micros, Session& session, JobId id) {
    if (const auto held = held_.find({id, session.id}); held != held_.end()) {
        end_held(held, net::CloseReason::done);
        return reply(session, "DELETED\r\n");
    }
    Job* const job = queue_.find(id);
    // Another worker or a runner over HTTP holds the job, and only the holder can end it.
    if (!job || (job->state == State::reserved && !withdraw_submitted(*job)))
        return reply(session, "NOT_FOUND\r\n");
    remove_job(*job);
    reply(session, "DELETED\r\n");
}

void TubeBroker::release(Micros now, Session& session, const Command& command) {
    const auto held = held_.find({JobId{command.id}, session.id});
    // Also if the job's time to run has passed: it has been given up or retried, and the command is too late.
    if (held == held_.end()) return reply(session, "NOT_FOUND\r\n");
    const TaskId task = held->second.errand.task;
    const bool from_queue = held->second.from_queue;
    end_held(held, net::CloseReason::returned);
    // The job is queued again with the worker's priority and delay, unless another session holds a copy or
    // the job has ended.
    Job* const job = from_queue ? queue_.find(JobId{command.id}) : nullptr;
    if (job && job->task == task && !held_by_task_.contains(task)) {
        ++job->releases;
        job->priority = command.priority;
        requeue(job->id);
        if (command.delay_s > 0) {
            queue_.delay(*job, now, micros(command.delay_s));
            schedule(job->due_at);
        }
    }
    reply(session, "RELEASED\r\n");
}

void TubeBroker::bury(Micros, Session& session, const Command& command) {
    const auto held = held_.find({JobId{command.id}, session.id});
    if (held == held_.end()) return reply(session, "NOT_FOUND\r\n");
    const auto copies = held_by_task_.find(held->second.errand.task);
    Job* const job = held->second.from_queue ? queue_.find(JobId{command.id}) : nullptr;
    const bool can_bury = job && job->task == held->second.errand.task && copies != held_by_task_.end() &&
                          copies->second.size() == 1;
    if (!can_bury) {
        end_held(held, net::CloseReason::failed);
    } else {
        // The worker decided to set the job aside: there is no retry, and it does not count as a failure of
        // the worker.
        job->priority = command.priority;
        requeue(job->id);
        end_held(held, net::CloseReason::cancelled);
        job->may_have_run = !tube_state(job->tube).plan->is_idempotent();
        // The job must leave its heap with the flag that it was inserted with.
        const bool may_have_run = std::exchange(job->may_have_run, false);
        queue_.reserve(*job, {});
        job->may_have_run = may_have_run;
        queue_.bury(*job);
    }
    reply(session, "BURIED\r\n");
}

void TubeBroker::touch(Micros now, Session& session, JobId id) {
    const auto held = held_.find({id, session.id});
    if (held == held_.end()) return reply(session, "NOT_FOUND\r\n");
    set_deadline(held, now + held->second.time_to_run);
    reply(session, "TOUCHED\r\n");
}

// ---- submission to the balancer ----

void TubeBroker::mark_changed(TubeId tube) { changed_tubes_.insert(tube); }

void TubeBroker::process_changes() {
    // Jobs that one group returns may suit another. The loop terminates, since no group takes more jobs than
    // it has waiting members.
    while (!changed_tubes_.empty() || !changed_groups_.empty()) {
        for (const TubeId tube : std::exchange(changed_tubes_, {})) {
            if (!queue_.has_tube(tube)) continue;
            for (auto& [tubes, group] : groups_)
                if (group.waiting > group.submitted.size() &&
                    std::binary_search(tubes.begin(), tubes.end(), tube))
                    changed_groups_.insert(&group);
            submit_pushed(tube);
        }
        for (Group* const group : std::exchange(changed_groups_, {})) fill_group(*group);
    }
}

void TubeBroker::fill_group(Group& group) {
    const std::size_t target = dispatches_jobs_ ? group.waiting : 0;
    while (group.submitted.size() > target) {
        const JobId last = group.submitted.back();
        requeue(last);
    }
    while (group.submitted.size() < target) {
        Job* best = nullptr;
        for (const TubeId tube : group.tubes) {
            Job* const first = queue_.first_ready(tube, now_);
            if (first &&
                (!best || std::pair(first->heap_key, first->id) < std::pair(best->heap_key, best->id)))
                best = first;
        }
        if (!best || !submit(*best, &group)) return;
    }
}

void TubeBroker::submit_pushed(TubeId tube) {
    if (static_cast<std::size_t>(tube) >= tube_states_.size() || !tube_state(tube).plan || !dispatches_jobs_)
        return;
    TubeState& state = tube_state(tube);
    if (state.plan->max_pushed == 0) return;
    for (Job* job; state.pushed < state.plan->max_pushed && (job = queue_.first_ready(tube, now_));) {
        if (!submit(*job, nullptr)) return;
        ++state.pushed;
        pushed_jobs_.insert(job->id);
    }
}

void TubeBroker::on_task_pushed(TaskId task) {
    if (const auto known = job_by_task_.find(task); known != job_by_task_.end())
        forget_submitted(known->second);
}

bool TubeBroker::submit(Job& job, Group* group) {
    const TaskId task = callbacks_.submit_task(job, queue_.at(job.tube).name, *tube_state(job.tube).plan,
                                               tube_state(job.tube).workload);
    if (task == TaskId{}) return false;
    queue_.reserve(job, task);
    job_by_task_[task] = job.id;
    submitted_[job.id] = group;
    if (group) group->submitted.push_back(job.id);
    return true;
}

void TubeBroker::forget_submitted(JobId id) {
    const auto found = submitted_.find(id);
    if (found == submitted_.end()) return;
    if (Group* const group = found->second) {
        std::erase(group->submitted, id);
        changed_groups_.insert(group);
    }
    submitted_.erase(found);
}

// Cancels the job's task and queues the job again: it has not run, or may run again.
void TubeBroker::requeue(JobId id) {
    Job* const job = queue_.find(id);
    forget_submitted(id);
    if (!job || job->state != State::reserved) return;
    if (pushed_jobs_.erase(id) > 0) --tube_state(job->tube).pushed;
    const TaskId task = job->task;
    queue_.make_ready(*job);
    mark_changed(job->tube);
    if (job_by_task_.erase(task) > 0) callbacks_.cancel_task(task);
}

// Requeues a job that was submitted but not assigned. False: it is not such a job.
bool TubeBroker::withdraw_submitted(Job& job) {
    if (!submitted_.contains(job.id)) return false;
    requeue(job.id);
    return true;
}

void TubeBroker::on_answer(TaskId task, frontend::Answer answer, std::string_view, Micros retry_after) {
    const auto known = job_by_task_.find(task);
    if (known == job_by_task_.end()) return;
    const JobId id = known->second;
    job_by_task_.erase(known);
    forget_submitted(id);
    Job* const job = queue_.find(id);
    if (!job) return;
    const TubeId tube = job->tube;
    if (pushed_jobs_.erase(id) > 0) --tube_state(tube).pushed;
    mark_changed(tube);
    switch (answer) {
        case frontend::Answer::finished:
            remove_job(*job);
            break;  // may remove the tube as well
        case frontend::Answer::bounced:
            queue_.delay(*job, now_, std::clamp<Micros>(retry_after, 1'000, kMaxBounceDelay));
            schedule(job->due_at);
            break;
        case frontend::Answer::abandoned:
            // A side-effecting job is never run again automatically: it stays buried until an operator kicks
            // it.
            job->may_have_run = !tube_state(tube).plan->is_idempotent();
            queue_.bury(*job);
            break;
    }
}

void TubeBroker::set_dispatches_jobs(bool enabled) {
    if (dispatches_jobs_ == enabled) return;
    dispatches_jobs_ = enabled;
    for (auto& [tubes, group] : groups_) changed_groups_.insert(&group);
    queue_.for_each_tube([&](TubeId tube, const Tube&) { mark_changed(tube); });
    process_changes();
}

// ---- time ----

Micros TubeBroker::advance(Micros now) {
    now_ = now;
    if (next_queue_change_ > 0 && now >= next_queue_change_) {
        std::vector<TubeId> tubes;
        next_queue_change_ = queue_.advance(now, kMaxDueJobsPerTurn, tubes);
        if (next_queue_change_ > 0 && next_queue_change_ <= now)
            next_queue_change_ = now + 1'000;  // the remaining jobs, after other work of the loop
        for (const TubeId tube : tubes) mark_changed(tube);
    }
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        const auto held = held_.find(deadlines_.begin()->second);
        ++timeouts_;
        if (held->second.from_queue)
            if (Job* const job = queue_.find(held->first.first)) ++job->timeouts;
        end_held(held, net::CloseReason::timed_out);
    }
    while (!deadline_warnings_.empty() && deadline_warnings_.begin()->first <= now) {
        const HeldKey key = deadline_warnings_.begin()->second;
        deadline_warnings_.erase(deadline_warnings_.begin());
        Session& session = sessions_.at(key.second);
        // A worker that waits in a reserve must learn that the deadline of a job that it holds is near.
        if (!session.waiting || session.requested_job != JobId{}) continue;
        set_waiting(session, false);
        reply(session, "DEADLINE_SOON\r\n");
    }
    while (!reserve_timeouts_.empty() && reserve_timeouts_.begin()->first <= now) {
        Session& session = sessions_.at(reserve_timeouts_.begin()->second);
        const bool has_request = session.requested_job != JobId{};
        has_request ? cancel_job_request(session) : set_waiting(session, false);
        reply(session, has_request ? "NOT_FOUND\r\n" : "TIMED_OUT\r\n");
    }
    process_changes();
    Micros next = next_queue_change_;
    const auto include = [&](Micros at) { next = next > 0 ? std::min(next, at) : at; };
    if (!deadlines_.empty()) include(deadlines_.begin()->first);
    if (!deadline_warnings_.empty()) include(deadline_warnings_.begin()->first);
    if (!reserve_timeouts_.empty()) include(reserve_timeouts_.begin()->first);
    return next;
}

// ---- kick, pause, peek and statistics ----

void TubeBroker::kick(Session& session, std::size_t max_jobs) {
    Tube& tube = queue_.at(session.used);
    std::size_t kicked = 0;
    // As the protocol requires: delayed jobs are kicked only if no job is buried.
    queue::JobHeap& from = tube.buried.size() > 0 ? tube.buried : tube.delayed;
    for (; kicked < max_jobs && from.size() > 0; ++kicked) kick_job(*from.first(), false);
    reply(session, with_id("KICKED", kicked));
}

bool TubeBroker::kick_job(Job& job, bool by_operator) {
    if (job.state != State::buried && job.state != State::delayed) return false;
    if (job.may_have_run && !by_operator) return false;
    ++job.kicks;
    queue_.reserve(job, {});  // leaves its heap with the flag that it was inserted with
    job.may_have_run = false;
    queue_.make_ready(job);
    mark_changed(job.tube);
    return true;
}

bool TubeBroker::kick_may_have_run(std::uint64_t id) {
    Job* const job = queue_.find(JobId{id});
    const bool kicked = job && job->state == State::buried && kick_job(*job, true);
    if (kicked) process_changes();
    return kicked;
}

void TubeBroker::pause(Micros now, Session& session, const Command& command) {
    const auto tube = queue_.find_tube(command.tube);
    if (!tube) return reply(session, "NOT_FOUND\r\n");
    queue_.pause(*tube, now, micros(command.delay_s));
    schedule(now + micros(command.delay_s));
    // Submitted jobs that are not assigned yet are queued again.
    std::vector<JobId> unassigned;
    for (const auto& [id, group] : submitted_)
        if (const Job* const job = queue_.find(id); job && job->tube == *tube) unassigned.push_back(id);
    for (const JobId id : unassigned) requeue(id);
    reply(session, "PAUSED\r\n");
}

void TubeBroker::peek(Session& session, const Job* job) {
    reply(session, job ? with_body("FOUND", number(job->id), job->body) : "NOT_FOUND\r\n");
}

void TubeBroker::reply_stats_job(Micros now, Session& session, JobId id) {
    Yaml out;
    const auto held = held_.lower_bound({id, SessionId{}});
    const bool is_held = held != held_.end() && held->first.first == id;
    const Job* const job = queue_.find(id);
    if (!job && !is_held) return reply(session, "NOT_FOUND\r\n");
    out.number("id", number(id));
    out.string("tube", job ? queue_.at(job->tube).name : "");
    const bool submitted = submitted_.contains(id);
    out.bare("state", is_held                                       ? "reserved"
                      : job->state == State::delayed                ? "delayed"
                      : job->state == State::buried                 ? "buried"
                      : job->state == State::reserved && !submitted ? "reserved"
                                                                    : "ready");
    out.number("pri", job ? job->priority : 0);
    out.number("age", job ? seconds(now - job->put_at) : seconds(now - held->second.since));
    out.number("delay", job ? seconds(job->delay) : 0);
    out.number("ttr", seconds(job ? job->time_to_run : held->second.time_to_run));
    const Micros until = is_held ? held->second.deadline : job->state == State::delayed ? job->due_at : now;
    out.number("time-left", seconds(until - now));
    out.number("file", 0);
    out.number("reserves", job ? job->reserves : 1);
    out.number("timeouts", job ? job->timeouts : 0);
    out.number("releases", job ? job->releases : 0);
    out.number("buries", job ? job->buries : 0);
    out.number("kicks", job ? job->kicks : 0);
    reply(session, out.to_reply());
}

void TubeBroker::reply_stats_tube(Micros now, Session& session, const std::string& name) {
    const auto tube_id = queue_.find_tube(name);
    if (!tube_id) return reply(session, "NOT_FOUND\r\n");
    const Tube& tube = queue_.at(*tube_id);
    std::uint64_t submitted = 0, using_count = 0, watching = 0, waiting = 0;
    for (const auto& [id, group] : submitted_)
        if (const Job* const job = queue_.find(id); job && job->tube == *tube_id) ++submitted;
    for (const auto& [id, other] : sessions_) {
        const bool watches =
            std::find(other.watched.begin(), other.watched.end(), *tube_id) != other.watched.end();
        using_count += other.used == *tube_id, watching += watches, waiting += watches && other.waiting;
    }
    Yaml out;
    out.string("name", tube.name);
    out.number("current-jobs-urgent", tube.urgent);
    out.number("current-jobs-ready", tube.ready.size() + submitted);
    out.number("current-jobs-reserved", tube.reserved - submitted);
    out.number("current-jobs-delayed", tube.delayed.size());
    out.number("current-jobs-buried", tube.buried.size() + tube.withheld.size());
    out.number("total-jobs", tube.total_jobs);
    out.number("current-using", using_count);
    out.number("current-watching", watching);
    out.number("current-waiting", waiting);
    out.number("cmd-delete", tube.deleted_jobs);
    out.number("cmd-pause-tube", tube.pauses);
    out.number("pause", seconds(tube.pause));
    out.number("pause-time-left", seconds(tube.paused_until - now));
    reply(session, out.to_reply());
}

void TubeBroker::reply_stats(Micros now, Session& session) {
    std::uint64_t urgent = 0, ready = submitted_.size(), delayed = 0, buried = 0, reserved = 0, tubes = 0;
    queue_.for_each_tube([&](TubeId, const Tube& tube) {
        urgent += tube.urgent, ready += tube.ready.size(), delayed += tube.delayed.size(),
            buried += tube.buried.size() + tube.withheld.size();
        reserved += tube.reserved, ++tubes;
    });
    std::uint64_t producers = 0, workers = 0, waiting = 0;
    for (const auto& [id, other] : sessions_)
        producers += other.is_producer, workers += other.is_worker, waiting += other.waiting;
    Yaml out;
    out.number("current-jobs-urgent", urgent)
        .number("current-jobs-ready", ready)
        .number("current-jobs-reserved", reserved - submitted_.size());
    out.number("current-jobs-delayed", delayed).number("current-jobs-buried", buried);
    for (const Verb v : {Verb::put,
                         Verb::peek,
                         Verb::peek_ready,
                         Verb::peek_delayed,
                         Verb::peek_buried,
                         Verb::reserve,
                         Verb::reserve_with_timeout,
                         Verb::reserve_job,
                         Verb::remove,
                         Verb::release,
                         Verb::use,
                         Verb::watch,
                         Verb::ignore,
                         Verb::bury,
                         Verb::kick,
                         Verb::kick_job,
                         Verb::touch,
                         Verb::stats,
                         Verb::stats_job,
                         Verb::stats_tube,
                         Verb::list_tubes,
                         Verb::list_tube_used,
                         Verb::list_tubes_watched,
                         Verb::pause_tube})
        out.number("cmd-" + std::string(name_of(v)), command_counts_[static_cast<std::size_t>(v)]);
    out.number("job-timeouts", timeouts_)
        .number("total-jobs", total_jobs_)
        .number("max-job-size", settings_.max_body_bytes);
    out.number("current-tubes", tubes)
        .number("current-connections", sessions_.size())
        .number("current-producers", producers);
    out.number("current-workers", workers)
        .number("current-waiting", waiting)
        .number("total-connections", total_sessions_);
    out.string("version", "gannethold").bare("draining", rejects_puts_ ? "true" : "false");
    out.number("uptime", seconds(now - started_at_)).number("binlog-max-size", 0);
    reply(session, out.to_reply());
}

}  // namespace gannethold::beanstalk
