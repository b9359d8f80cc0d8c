#include "beanstalk/exchange.hpp"

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
constexpr Micros kLeastWait =
    10'000;  // of a reserve: the module gives jobs at the end of a turn, and this is one
constexpr Micros kAskingTakes = kSecond;    // for a job asked for by its number
constexpr Micros kLongestAway = kSecond;    // of a job that was bounced: a worker may come free at any time
constexpr std::size_t kDueInOneGo = 2'000;  // against 100,000 that are due at once and hold up the loop
constexpr std::size_t kMostWatched = 64;

std::uint64_t number(JobId id) { return static_cast<std::uint64_t>(id); }
std::uint64_t seconds(Micros t) { return static_cast<std::uint64_t>(std::max<Micros>(0, t) / kSecond); }
Micros micros(std::uint32_t s) { return static_cast<Micros>(s) * kSecond; }

}  // namespace

Exchange::Exchange(Trade trade, Places places, Floor& floor)
    : trade_(std::move(trade)), places_(std::move(places)), floor_(floor), queue_(trade_.bounds) {
    queue_.add_user(*open_tube("default"));
}

// ---- tubes
// -------------------------------------------------------------------------------------------------

std::optional<TubeId> Exchange::open_tube(const std::string& name) {
    if (const auto known = queue_.find_tube(name)) return known;
    const auto named = places_.named.find(name);
    if (named == places_.named.end() && places_.free.empty()) return std::nullopt;
    const auto tube = queue_.find_or_create_tube(name);
    if (!tube) return std::nullopt;
    of_tubes_.resize(std::max(of_tubes_.size(), static_cast<std::size_t>(*tube) + 1));
    OfTube& t = of(*tube) = {};
    const auto plan = std::find_if(trade_.tubes.begin(), trade_.tubes.end(),
                                   [&](const TubePlan& p) { return p.name == name; });
    t.plan = plan != trade_.tubes.end() ? &*plan : &trade_.otherwise;
    if (named != places_.named.end()) return t.workload = named->second, tube;
    t.workload = places_.free.back();
    t.own_place = true;
    places_.free.pop_back();
    return tube;
}

void Exchange::leave_tube(TubeId tube) {
    const OfTube t = of(tube);
    if (queue_.remove_user(tube) && t.own_place) places_.free.push_back(t.workload);
}

void Exchange::drop_job(Job& job) {
    const OfTube t = of(job.tube);
    if (queue_.remove(job) && t.own_place) places_.free.push_back(t.workload);
}

WorkloadSet Exchange::serves(const Session& s) const {
    WorkloadSet all;
    const auto add = [&](WorkloadId w) {
        if (static_cast<std::size_t>(w) < all.size()) all.set(static_cast<std::size_t>(w));
    };
    if (s.asked != JobId{}) {
        // Only the one job that it asks for, in the place that nobody else serves.
        for (const auto& [effect, who] : asking_)
            if (!who.empty() && who.front() == s.id) add(places_.chosen.at(effect));
        return all;
    }
    for (const TubeId tube : s.watched) add(of_tubes_[static_cast<std::size_t>(tube)].workload);
    return all;
}

void Exchange::regroup(Session& s) {
    if (s.group && --s.group->members == 0) {
        stirred_.erase(s.group);
        groups_.erase(s.group->tubes);
    }
    s.group = nullptr;
    if (s.watched.empty()) return;
    std::vector<TubeId> tubes = s.watched;
    std::sort(tubes.begin(), tubes.end());
    s.group = &groups_[tubes];
    s.group->tubes = std::move(tubes);
    ++s.group->members;
    if (s.joined) floor_.worker_serves(s.worker, serves(s));
}

// ---- sessions
// ----------------------------------------------------------------------------------------------

void Exchange::opened(Micros now, SessionId id) {
    if (begun_ < 0) begun_ = now;
    Session& s = sessions_[id];
    ++total_sessions_;
    s.id = id;
    s.used = *open_tube("default");
    s.watched = {s.used};
    queue_.add_user(s.used), queue_.add_user(s.used);
    regroup(s);
}

void Exchange::closed(Micros now, SessionId id) {
    const auto found = sessions_.find(id);
    if (found == sessions_.end()) return;
    now_ = now;
    Session& s = found->second;
    if (s.asked != JobId{}) stop_asking(s);
    if (s.waiting) set_waiting(s, false);
    // Against a worker that is gone with a job in its hands: nobody knows how far it came.
    for (auto held = held_.begin(); s.held > 0 && held != held_.end();) {
        const auto next = std::next(held);
        if (held->first.second == id) end(held, net::CloseReason::broken);
        held = next;
    }
    if (s.joined) {
        floor_.worker_leaves(s.worker);
        workers_.erase(s.worker);
    }
    fill_stirred();  // what had entered for it alone goes back while its group stands
    for (const TubeId tube : std::exchange(s.watched, {})) leave_tube(tube);
    leave_tube(s.used);
    regroup(s);
    sessions_.erase(found);
    fill_stirred();
}

bool Exchange::waits(SessionId id) const {
    const auto found = sessions_.find(id);
    return found != sessions_.end() && found->second.waiting;
}

bool Exchange::spoke(SessionId id) const {
    const auto found = sessions_.find(id);
    return found != sessions_.end() && found->second.spoke;
}

void Exchange::set_waiting(Session& s, bool waits) {
    if (s.waiting == waits) return;
    s.waiting = waits;
    if (s.wait_until > 0)
        waits ? void(waits_.emplace(s.wait_until, s.id)) : void(waits_.erase({s.wait_until, s.id}));
    if (s.asked == JobId{}) {
        s.group->waiting += waits ? 1 : static_cast<std::size_t>(-1);
        stirred_.insert(s.group);
    }
    tell_room(s);
}

void Exchange::tell_room(const Session& s) const {
    if (s.joined) floor_.worker_room(s.worker, static_cast<double>(s.held + (s.waiting ? 1 : 0)));
}

void Exchange::remind(RunnerId worker) const {
    if (const auto found = workers_.find(worker); found != workers_.end())
        tell_room(sessions_.at(found->second));
}

void Exchange::heard(Micros now, SessionId id, Found found, Command&& command) {
    pass(now);
    const auto session = sessions_.find(id);
    if (session == sessions_.end()) return;
    Session& s = session->second;
    switch (found) {
        case Found::nothing:
            return;
        case Found::command:
            break;
        case Found::bad_format:
            return say(s, "BAD_FORMAT\r\n");
        case Found::unknown_command:
            return say(s, "UNKNOWN_COMMAND\r\n");
        case Found::expected_crlf:
            return say(s, "EXPECTED_CRLF\r\n");
        case Found::job_too_big:
            return say(s, "JOB_TOO_BIG\r\n");
    }
    s.spoke = true;
    ++counts_[static_cast<std::size_t>(command.verb)];
    obey(now, s, std::move(command));
    fill_stirred();
}

void Exchange::obey(Micros now, Session& s, Command&& c) {
    switch (c.verb) {
        case Verb::put:
            return put(now, s, std::move(c));
        case Verb::use: {
            const auto tube = open_tube(c.tube);
            if (!tube) return say(s, "OUT_OF_MEMORY\r\n");
            queue_.add_user(*tube);
            leave_tube(std::exchange(s.used, *tube));
            return say(s, "USING " + c.tube + "\r\n");
        }
        case Verb::reserve:
            return reserve(now, s, 0);
        case Verb::reserve_with_timeout:
            return reserve(now, s, now + std::max(kLeastWait, micros(c.seconds)));
        case Verb::reserve_job:
            return reserve_job(now, s, JobId{c.id});
        case Verb::remove:
            return remove(now, s, JobId{c.id});
        case Verb::release:
            return release(now, s, c);
        case Verb::bury:
            return bury(now, s, c);
        case Verb::touch:
            return touch(now, s, JobId{c.id});
        case Verb::watch:
            return watch(s, c.tube);
        case Verb::ignore:
            return ignore(s, c.tube);
        case Verb::peek:
            return peek(s, queue_.find(JobId{c.id}));
        case Verb::peek_ready:
            return peek(s, queue_.at(s.used).ready.first());
        case Verb::peek_delayed:
            return peek(s, queue_.at(s.used).delayed.first());
        case Verb::peek_buried: {
            const Tube& t = queue_.at(s.used);
            return peek(s, t.buried.first() ? t.buried.first() : t.withheld.first());
        }
        case Verb::kick:
            return kick(s, c.bound);
        case Verb::kick_job: {
            Job* const job = queue_.find(JobId{c.id});
            return say(s, job && kick_one(*job, false) ? "KICKED\r\n" : "NOT_FOUND\r\n");
        }
        case Verb::stats:
            return tell_stats(now, s);
        case Verb::stats_job:
            return tell_job(now, s, JobId{c.id});
        case Verb::stats_tube:
            return tell_tube(now, s, c.tube);
        case Verb::list_tubes: {
            Yaml all;
            queue_.for_each_tube([&](TubeId, const Tube& t) { all.item(t.name); });
            return say(s, all.ok());
        }
        case Verb::list_tube_used:
            return say(s, "USING " + queue_.at(s.used).name + "\r\n");
        case Verb::list_tubes_watched: {
            Yaml all;
            for (const TubeId tube : s.watched) all.item(queue_.at(tube).name);
            return say(s, all.ok());
        }
        case Verb::pause_tube:
            return pause(now, s, c);
        case Verb::quit:
            return floor_.close(s.id);
    }
}

// ---- producers
// ---------------------------------------------------------------------------------------------

void Exchange::put(Micros now, Session& s, Command&& c) {
    s.puts = true;
    if (turns_away_) return say(s, "DRAINING\r\n");
    const Micros run = std::max(trade_.least_run, micros(c.run_s));
    const auto id = queue_.put(now, s.used, c.priority, micros(c.delay_s), run, std::move(c.body));
    if (!id) return say(s, "OUT_OF_MEMORY\r\n");
    ++total_jobs_;
    // Said only now that it is held; what a restart loses of it is in the page.
    say(s, with_id("INSERTED", number(*id)));
    if (c.delay_s > 0) due(now + micros(c.delay_s));
    stir(s.used);
}

Micros Exchange::due(Micros at) { return next_change_ = next_change_ > 0 ? std::min(next_change_, at) : at; }

void Exchange::watch(Session& s, const std::string& name) {
    const auto tube = open_tube(name);
    if (!tube || s.watched.size() >= kMostWatched) return say(s, "OUT_OF_MEMORY\r\n");
    if (std::find(s.watched.begin(), s.watched.end(), *tube) == s.watched.end()) {
        queue_.add_user(*tube);
        s.watched.push_back(*tube);
        regroup(s);
    }
    say(s, "WATCHING " + std::to_string(s.watched.size()) + "\r\n");
}

void Exchange::ignore(Session& s, const std::string& name) {
    const auto tube = queue_.find_tube(name);
    const auto found = tube ? std::find(s.watched.begin(), s.watched.end(), *tube) : s.watched.end();
    if (found != s.watched.end()) {
        if (s.watched.size() == 1) return say(s, "NOT_IGNORED\r\n");
        s.watched.erase(found);
        regroup(s);
        leave_tube(*tube);
    }
    say(s, "WATCHING " + std::to_string(s.watched.size()) + "\r\n");
}

// ---- workers
// -----------------------------------------------------------------------------------------------

void Exchange::reserve(Micros now, Session& s, Micros until) {
    for (const auto& [limit, grip] : limits_) {
        if (s.held == 0 || limit - now > trade_.margin) break;
        if (grip.second == s.id) return say(s, "DEADLINE_SOON\r\n");
    }
    if (!s.joined) {
        s.worker = floor_.worker_joins(s.id, serves(s), trade_.cold);
        s.joined = true;
        workers_[s.worker] = s.id;
    }
    s.wait_until = until;
    set_waiting(s, true);
}

// A job by its number is still the module's to give: it enters in a place that only this worker serves.
void Exchange::reserve_job(Micros now, Session& s, JobId id) {
    Job* const job = queue_.find(id);
    // One in another's hands is not to be had; nor, without an operator's word, one that may have run.
    if (!job || job->may_have_run || (job->state == State::reserved && !entered_.contains(id)))
        return say(s, "NOT_FOUND\r\n");
    if (!places_.chosen.contains(of(job->tube).plan->effect)) return say(s, "NOT_FOUND\r\n");
    if (!s.joined) {
        s.worker = floor_.worker_joins(s.id, serves(s), trade_.cold);
        s.joined = true;
        workers_[s.worker] = s.id;
    }
    s.asked = id;
    s.wait_until = now + kAskingTakes;
    set_waiting(s, true);
    const std::string effect = of(job->tube).plan->effect;
    auto& line = asking_[effect];
    line.push_back(s.id);
    // Until the place is its own it serves nothing, against a job that it did not ask for.
    line.size() == 1 ? choose_next(effect) : floor_.worker_serves(s.worker, serves(s));
}

void Exchange::choose_next(const std::string& effect) {
    auto& line = asking_[effect];
    while (!line.empty()) {
        Session& s = sessions_.at(line.front());
        Job* const job = queue_.find(s.asked);
        s.asked_from = job && job->state != State::reserved ? job->state : State::ready;
        const bool free = job && !job->may_have_run && (job->state != State::reserved || take_back(*job));
        if (free) {
            floor_.worker_serves(s.worker, serves(s));
            const TaskId task = floor_.hand_in(*job, queue_.at(job->tube).name, *of(job->tube).plan,
                                               places_.chosen.at(effect));
            if (task != TaskId{}) {
                queue_.reserve(*job, task);
                jobs_of_[task] = job->id;
                entered_[job->id] = nullptr;
                return;
            }
        }
        line.pop_front();
        s.asked = {};
        set_waiting(s, false);
        floor_.worker_serves(s.worker, serves(s));
        say(s, "NOT_FOUND\r\n");
    }
}

// It has the job, has waited long enough, or is gone.
void Exchange::stop_asking(Session& s) {
    const JobId id = std::exchange(s.asked, JobId{});
    if (s.waiting) {
        s.asked = id;
        set_waiting(s, false);
        s.asked = {};
    }
    for (auto& [effect, line] : asking_) {
        const auto found = std::find(line.begin(), line.end(), s.id);
        if (found == line.end()) continue;
        const bool first = found == line.begin();
        line.erase(found);
        floor_.worker_serves(s.worker, serves(s));
        if (!first) return;
        if (Job* const job = queue_.find(id); job && take_back(*job) && s.asked_from != State::ready) {
            // As it lay before it was asked for.
            queue_.reserve(*job, {});
            if (s.asked_from == State::buried)
                queue_.bury(*job), --job->buries;
            else
                queue_.delay(*job, now_, std::max<Micros>(1, job->due_at - now_)), due(job->due_at);
        }
        return choose_next(effect);
    }
}

void Exchange::assign(RunnerId runner, runners::PendingCall&& errand) {
    const auto worker = workers_.find(runner);
    Session* const s = worker == workers_.end() ? nullptr : &sessions_.at(worker->second);
    // Against an assignment that crosses the end of a reserve: it was never told of the job.
    if (!s || !s->waiting || errand.deadline <= now_)
        return floor_.on_call_ended(
            {errand.task, errand.number, runner, net::CloseReason::timed_out_unsent, 0, {}, {}});
    const auto known = jobs_of_.find(errand.task);
    const bool of_queue = known != jobs_of_.end();
    const JobId id = of_queue ? known->second : queue_.next_id();
    Held held;
    held.session = s->id, held.worker = runner, held.since = now_, held.of_queue = of_queue;
    held.run = of_queue ? queue_.find(id)->time_to_run : errand.deadline - now_;
    held.errand = std::move(errand);
    held_of_[held.errand.task].push_back({id, s->id});
    const auto place = held_.emplace(Grip{id, s->id}, std::move(held)).first;
    set_limit(place, now_ + place->second.run);
    const bool asked = s->asked != JobId{};
    forget_entered(id);
    ++s->held;
    // What it holds is one more and what it waits for one less, so the room that was told stays true.
    if (asked)
        stop_asking(*s);
    else
        set_waiting(*s, false);
    if (of_queue) ++queue_.find(id)->reserves;
    say_reserved(place);
    fill_stirred();
}

void Exchange::say_reserved(AllHeld::iterator held) {
    const auto& [id, session] = held->first;
    const Held& h = held->second;
    if (const Job* const job = h.of_queue ? queue_.find(id) : nullptr)
        return floor_.say(session, with_body("RESERVED", number(id), job->body));
    floor_.say(session, with_body("RESERVED", number(id), h.errand.body ? h.errand.body->to_string() : ""));
}

void Exchange::set_limit(AllHeld::iterator place, Micros limit) {
    auto& [grip, held] = *place;
    limits_.erase({held.limit, grip});
    nearly_.erase({held.limit - trade_.margin, grip});
    held.limit = std::min(limit, held.errand.deadline);
    limits_.emplace(held.limit, grip);
    nearly_.emplace(held.limit - trade_.margin, grip);
}

// The one end of a job in a worker's hands. What becomes of the task is the module's to say.
void Exchange::end(AllHeld::iterator place, net::CloseReason ending) {
    const auto [id, session] = place->first;
    const Held held = std::move(place->second);
    limits_.erase({held.limit, place->first});
    nearly_.erase({held.limit - trade_.margin, place->first});
    if (const auto all = held_of_.find(held.errand.task); all != held_of_.end()) {
        std::erase(all->second, place->first);
        if (all->second.empty()) held_of_.erase(all);
    }
    held_.erase(place);
    Session& s = sessions_.at(session);
    --s.held;
    tell_room(s);
    floor_.on_call_ended(
        {held.errand.task, held.errand.number, held.worker, ending, now_ - held.since, {}, {}});
    // A harmless job whose worker is lost or late lies in its tube again, and goes to whoever asks next, also
    // to the same one. Of any other the module says what becomes of it.
    const bool unsure = ending == net::CloseReason::timed_out || ending == net::CloseReason::broken;
    Job* const job = unsure && held.of_queue ? queue_.find(id) : nullptr;
    if (job && job->task == held.errand.task && of(job->tube).plan->harmless() &&
        !held_of_.contains(job->task))
        back(id);
}

void Exchange::withdraw(TaskId task, int number) {
    const auto found = held_of_.find(task);
    if (found == held_of_.end()) return;
    for (const Grip& grip : found->second) {
        const auto held = held_.find(grip);
        if (held == held_.end() || held->second.errand.number != number) continue;
        return end(held, net::CloseReason::cancelled);
    }
}

void Exchange::limit_deadlines(Micros at) {
    for (auto held = held_.begin(); held != held_.end(); ++held) {
        held->second.errand.deadline = std::min(held->second.errand.deadline, at);
        set_limit(held, held->second.limit);
    }
}

void Exchange::remove(Micros, Session& s, JobId id) {
    if (const auto held = held_.find({id, s.id}); held != held_.end()) {
        end(held, net::CloseReason::done);
        return say(s, "DELETED\r\n");
    }
    Job* const job = queue_.find(id);
    // In the hands of another, or at a runner: its end is theirs to say.
    if (!job || (job->state == State::reserved && !take_back(*job))) return say(s, "NOT_FOUND\r\n");
    drop_job(*job);
    say(s, "DELETED\r\n");
}

void Exchange::release(Micros now, Session& s, const Command& c) {
    const auto held = held_.find({JobId{c.id}, s.id});
    // Also of one whose time was over: it has been given up or given on, and the worker's word comes too
    // late.
    if (held == held_.end()) return say(s, "NOT_FOUND\r\n");
    const TaskId task = held->second.errand.task;
    const bool of_queue = held->second.of_queue;
    end(held, net::CloseReason::returned);
    // The queue has the job again, with the worker's own wish when; unless a copy of it is elsewhere, or it
    // has ended.
    Job* const job = of_queue ? queue_.find(JobId{c.id}) : nullptr;
    if (job && job->task == task && !held_of_.contains(task)) {
        ++job->releases;
        job->priority = c.priority;
        back(job->id);
        if (c.delay_s > 0) {
            queue_.delay(*job, now, micros(c.delay_s));
            due(job->due_at);
        }
    }
    say(s, "RELEASED\r\n");
}

void Exchange::bury(Micros, Session& s, const Command& c) {
    const auto held = held_.find({JobId{c.id}, s.id});
    if (held == held_.end()) return say(s, "NOT_FOUND\r\n");
    const auto copies = held_of_.find(held->second.errand.task);
    Job* const job = held->second.of_queue ? queue_.find(JobId{c.id}) : nullptr;
    const bool ours = job && job->task == held->second.errand.task && copies != held_of_.end() &&
                      copies->second.size() == 1;
    if (!ours) {
        end(held, net::CloseReason::failed);
    } else {
        // The worker's own word to leave it: nobody is asked whether once more, and it is no failing of the
        // worker.
        job->priority = c.priority;
        back(job->id);
        end(held, net::CloseReason::cancelled);
        job->may_have_run = !of(job->tube).plan->harmless();
        // Out of the order first, by the mark that it went in with.
        const bool mark = std::exchange(job->may_have_run, false);
        queue_.reserve(*job, {});
        job->may_have_run = mark;
        queue_.bury(*job);
    }
    say(s, "BURIED\r\n");
}

void Exchange::touch(Micros now, Session& s, JobId id) {
    const auto held = held_.find({id, s.id});
    if (held == held_.end()) return say(s, "NOT_FOUND\r\n");
    set_limit(held, now + held->second.run);
    say(s, "TOUCHED\r\n");
}

// ---- jobs into the module and back
// -------------------------------------------------------------------------

void Exchange::stir(TubeId tube) { stirred_tubes_.insert(tube); }

void Exchange::fill_stirred() {
    // What one group gives back another may want; it ends, since none takes more than it waits for.
    while (!stirred_tubes_.empty() || !stirred_.empty()) {
        for (const TubeId tube : std::exchange(stirred_tubes_, {})) {
            if (!queue_.has_tube(tube)) continue;
            for (auto& [tubes, group] : groups_)
                if (group.waiting > group.entered.size() &&
                    std::binary_search(tubes.begin(), tubes.end(), tube))
                    stirred_.insert(&group);
            push_out(tube);
        }
        for (Group* const group : std::exchange(stirred_, {})) fill(*group);
    }
}

void Exchange::fill(Group& group) {
    const std::size_t wanted = hands_out_ ? group.waiting : 0;
    while (group.entered.size() > wanted) {
        const JobId last = group.entered.back();
        back(last);
    }
    while (group.entered.size() < wanted) {
        Job* best = nullptr;
        for (const TubeId tube : group.tubes) {
            Job* const first = queue_.first_ready(tube, now_);
            if (first &&
                (!best || std::pair(first->heap_key, first->id) < std::pair(best->heap_key, best->id)))
                best = first;
        }
        if (!best || !enter(*best, &group)) return;
    }
}

void Exchange::push_out(TubeId tube) {
    if (static_cast<std::size_t>(tube) >= of_tubes_.size() || !of(tube).plan || !hands_out_) return;
    OfTube& t = of(tube);
    if (t.plan->pushed == 0) return;
    for (Job* job; t.pushed < t.plan->pushed && (job = queue_.first_ready(tube, now_));) {
        if (!enter(*job, nullptr)) return;
        ++t.pushed;
        pushed_.insert(job->id);
    }
}

void Exchange::went_elsewhere(TaskId task) {
    if (const auto known = jobs_of_.find(task); known != jobs_of_.end()) forget_entered(known->second);
}

bool Exchange::enter(Job& job, Group* group) {
    const TaskId task =
        floor_.hand_in(job, queue_.at(job.tube).name, *of(job.tube).plan, of(job.tube).workload);
    if (task == TaskId{}) return false;
    queue_.reserve(job, task);
    jobs_of_[task] = job.id;
    entered_[job.id] = group;
    if (group) group->entered.push_back(job.id);
    return true;
}

void Exchange::forget_entered(JobId id) {
    const auto found = entered_.find(id);
    if (found == entered_.end()) return;
    if (Group* const group = found->second) {
        std::erase(group->entered, id);
        stirred_.insert(group);
    }
    entered_.erase(found);
}

// Out of the module and into the order again: it has never run, or may run once more.
void Exchange::back(JobId id) {
    Job* const job = queue_.find(id);
    forget_entered(id);
    if (!job || job->state != State::reserved) return;
    if (pushed_.erase(id) > 0) --of(job->tube).pushed;
    const TaskId task = job->task;
    queue_.make_ready(*job);
    stir(job->tube);
    if (jobs_of_.erase(task) > 0) floor_.take_back(task);
}

// Of a job that entered and is in nobody's hands yet.
bool Exchange::take_back(Job& job) {
    if (!entered_.contains(job.id)) return false;
    back(job.id);
    return true;
}

void Exchange::on_answer(TaskId task, frontend::Answer answer, std::string_view, Micros retry_after) {
    const auto known = jobs_of_.find(task);
    if (known == jobs_of_.end()) return;
    const JobId id = known->second;
    jobs_of_.erase(known);
    forget_entered(id);
    Job* const job = queue_.find(id);
    if (!job) return;
    const TubeId tube = job->tube;
    if (pushed_.erase(id) > 0) --of(tube).pushed;
    stir(tube);
    switch (answer) {
        case frontend::Answer::finished:
            drop_job(*job);
            break;  // its tube may be gone with it
        case frontend::Answer::bounced:
            queue_.delay(*job, now_, std::clamp<Micros>(retry_after, 1'000, kLongestAway));
            due(job->due_at);
            break;
        case frontend::Answer::abandoned:
            // Never a second run by itself: it lies here until an operator says so.
            job->may_have_run = !of(tube).plan->harmless();
            queue_.bury(*job);
            break;
    }
}

void Exchange::hand_out(bool yes) {
    if (hands_out_ == yes) return;
    hands_out_ = yes;
    for (auto& [tubes, group] : groups_) stirred_.insert(&group);
    queue_.for_each_tube([&](TubeId tube, const Tube&) { stir(tube); });
    fill_stirred();
}

// ---- time
// --------------------------------------------------------------------------------------------------

Micros Exchange::pass(Micros now) {
    now_ = now;
    if (next_change_ > 0 && now >= next_change_) {
        std::vector<TubeId> tubes;
        next_change_ = queue_.advance(now, kDueInOneGo, tubes);
        if (next_change_ > 0 && next_change_ <= now)
            next_change_ = now + 1'000;  // the rest, once others have had a turn
        for (const TubeId tube : tubes) stir(tube);
    }
    while (!limits_.empty() && limits_.begin()->first <= now) {
        const auto held = held_.find(limits_.begin()->second);
        ++timeouts_;
        if (held->second.of_queue)
            if (Job* const job = queue_.find(held->first.first)) ++job->timeouts;
        end(held, net::CloseReason::timed_out);
    }
    while (!nearly_.empty() && nearly_.begin()->first <= now) {
        const Grip grip = nearly_.begin()->second;
        nearly_.erase(nearly_.begin());
        Session& s = sessions_.at(grip.second);
        // Against a worker that sits in a reserve while the time of what it has runs out.
        if (!s.waiting || s.asked != JobId{}) continue;
        set_waiting(s, false);
        say(s, "DEADLINE_SOON\r\n");
    }
    while (!waits_.empty() && waits_.begin()->first <= now) {
        Session& s = sessions_.at(waits_.begin()->second);
        const bool asked = s.asked != JobId{};
        asked ? stop_asking(s) : set_waiting(s, false);
        say(s, asked ? "NOT_FOUND\r\n" : "TIMED_OUT\r\n");
    }
    fill_stirred();
    Micros next = next_change_;
    const auto sooner = [&](Micros at) { next = next > 0 ? std::min(next, at) : at; };
    if (!limits_.empty()) sooner(limits_.begin()->first);
    if (!nearly_.empty()) sooner(nearly_.begin()->first);
    if (!waits_.empty()) sooner(waits_.begin()->first);
    return next;
}

// ---- kicking and looking
// -----------------------------------------------------------------------------------

void Exchange::kick(Session& s, std::size_t most) {
    Tube& t = queue_.at(s.used);
    std::size_t kicked = 0;
    // As the protocol has it: delayed ones only where nothing is buried.
    queue::JobHeap& from = t.buried.size() > 0 ? t.buried : t.delayed;
    for (; kicked < most && from.size() > 0; ++kicked) kick_one(*from.first(), false);
    say(s, with_id("KICKED", kicked));
}

bool Exchange::kick_one(Job& job, bool for_good) {
    if (job.state != State::buried && job.state != State::delayed) return false;
    if (job.may_have_run && !for_good) return false;
    ++job.kicks;
    queue_.reserve(job, {});  // out of the order, by the mark that it went in with
    job.may_have_run = false;
    queue_.make_ready(job);
    stir(job.tube);
    return true;
}

bool Exchange::kick_for_good(std::uint64_t id) {
    Job* const job = queue_.find(JobId{id});
    const bool kicked = job && job->state == State::buried && kick_one(*job, true);
    if (kicked) fill_stirred();
    return kicked;
}

void Exchange::pause(Micros now, Session& s, const Command& c) {
    const auto tube = queue_.find_tube(c.tube);
    if (!tube) return say(s, "NOT_FOUND\r\n");
    queue_.pause(*tube, now, micros(c.delay_s));
    due(now + micros(c.delay_s));
    // Those that entered and are in nobody's hands wait here instead.
    std::vector<JobId> out;
    for (const auto& [id, group] : entered_)
        if (const Job* const job = queue_.find(id); job && job->tube == *tube) out.push_back(id);
    for (const JobId id : out) back(id);
    say(s, "PAUSED\r\n");
}

void Exchange::peek(Session& s, const Job* job) {
    say(s, job ? with_body("FOUND", number(job->id), job->body) : "NOT_FOUND\r\n");
}

void Exchange::tell_job(Micros now, Session& s, JobId id) {
    Yaml out;
    const auto held = held_.lower_bound({id, SessionId{}});
    const bool in_hands = held != held_.end() && held->first.first == id;
    const Job* const job = queue_.find(id);
    if (!job && !in_hands) return say(s, "NOT_FOUND\r\n");
    out.pair("id", number(id));
    out.text("tube", job ? queue_.at(job->tube).name : "");
    const bool entered = entered_.contains(id);
    out.bare("state", in_hands                                    ? "reserved"
                      : job->state == State::delayed              ? "delayed"
                      : job->state == State::buried               ? "buried"
                      : job->state == State::reserved && !entered ? "reserved"
                                                                  : "ready");
    out.pair("pri", job ? job->priority : 0);
    out.pair("age", job ? seconds(now - job->put_at) : seconds(now - held->second.since));
    out.pair("delay", job ? seconds(job->delay) : 0);
    out.pair("ttr", seconds(job ? job->time_to_run : held->second.run));
    const Micros until = in_hands ? held->second.limit : job->state == State::delayed ? job->due_at : now;
    out.pair("time-left", seconds(until - now));
    out.pair("file", 0);
    out.pair("reserves", job ? job->reserves : 1);
    out.pair("timeouts", job ? job->timeouts : 0);
    out.pair("releases", job ? job->releases : 0);
    out.pair("buries", job ? job->buries : 0);
    out.pair("kicks", job ? job->kicks : 0);
    say(s, out.ok());
}

void Exchange::tell_tube(Micros now, Session& s, const std::string& name) {
    const auto tube = queue_.find_tube(name);
    if (!tube) return say(s, "NOT_FOUND\r\n");
    const Tube& t = queue_.at(*tube);
    std::uint64_t entered = 0, using_it = 0, watching = 0, waiting = 0;
    for (const auto& [id, group] : entered_)
        if (const Job* const job = queue_.find(id); job && job->tube == *tube) ++entered;
    for (const auto& [id, one] : sessions_) {
        const bool watches = std::find(one.watched.begin(), one.watched.end(), *tube) != one.watched.end();
        using_it += one.used == *tube, watching += watches, waiting += watches && one.waiting;
    }
    Yaml out;
    out.text("name", t.name);
    out.pair("current-jobs-urgent", t.urgent);
    out.pair("current-jobs-ready", t.ready.size() + entered);
    out.pair("current-jobs-reserved", t.reserved - entered);
    out.pair("current-jobs-delayed", t.delayed.size());
    out.pair("current-jobs-buried", t.buried.size() + t.withheld.size());
    out.pair("total-jobs", t.total_jobs);
    out.pair("current-using", using_it);
    out.pair("current-watching", watching);
    out.pair("current-waiting", waiting);
    out.pair("cmd-delete", t.deleted_jobs);
    out.pair("cmd-pause-tube", t.pauses);
    out.pair("pause", seconds(t.pause));
    out.pair("pause-time-left", seconds(t.paused_until - now));
    say(s, out.ok());
}

void Exchange::tell_stats(Micros now, Session& s) {
    std::uint64_t urgent = 0, ready = entered_.size(), delayed = 0, buried = 0, handed = 0, tubes = 0;
    queue_.for_each_tube([&](TubeId, const Tube& t) {
        urgent += t.urgent, ready += t.ready.size(), delayed += t.delayed.size(),
            buried += t.buried.size() + t.withheld.size();
        handed += t.reserved, ++tubes;
    });
    std::uint64_t producers = 0, workers = 0, waiting = 0;
    for (const auto& [id, one] : sessions_)
        producers += one.puts, workers += one.joined, waiting += one.waiting;
    Yaml out;
    out.pair("current-jobs-urgent", urgent)
        .pair("current-jobs-ready", ready)
        .pair("current-jobs-reserved", handed - entered_.size());
    out.pair("current-jobs-delayed", delayed).pair("current-jobs-buried", buried);
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
        out.pair("cmd-" + std::string(name_of(v)), counts_[static_cast<std::size_t>(v)]);
    out.pair("job-timeouts", timeouts_)
        .pair("total-jobs", total_jobs_)
        .pair("max-job-size", trade_.longest_body);
    out.pair("current-tubes", tubes)
        .pair("current-connections", sessions_.size())
        .pair("current-producers", producers);
    out.pair("current-workers", workers)
        .pair("current-waiting", waiting)
        .pair("total-connections", total_sessions_);
    out.text("version", "gannethold").bare("draining", turns_away_ ? "true" : "false");
    out.pair("uptime", seconds(now - begun_)).pair("binlog-max-size", 0);
    say(s, out.ok());
}

}  // namespace gannethold::beanstalk
