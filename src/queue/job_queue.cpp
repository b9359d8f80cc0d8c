#include "queue/job_queue.hpp"

#include <algorithm>

namespace gannethold::queue {
namespace {

constexpr std::uint32_t kUrgent = 1'024;  // a priority below it, by the protocol's own count
constexpr std::size_t kEach = 200;        // bytes that a job takes beside its body

}  // namespace

void JobHeap::put(std::size_t place, Job* job) {
    jobs_[place] = job;
    job->place = static_cast<std::uint32_t>(place);
}

void JobHeap::settle(std::size_t place) {
    Job* const job = jobs_[place];
    while (place > 0 && before(*job, *jobs_[(place - 1) / 2])) {
        put(place, jobs_[(place - 1) / 2]);
        place = (place - 1) / 2;
    }
    for (std::size_t child; (child = 2 * place + 1) < jobs_.size(); place = child) {
        if (child + 1 < jobs_.size() && before(*jobs_[child + 1], *jobs_[child])) ++child;
        if (!before(*jobs_[child], *job)) break;
        put(place, jobs_[child]);
    }
    put(place, job);
}

void JobHeap::add(Job& job) {
    jobs_.push_back(&job);
    settle(jobs_.size() - 1);
}

void JobHeap::take(Job& job) {
    const std::size_t place = job.place;
    Job* const last = jobs_.back();
    jobs_.pop_back();
    if (last == &job) return;
    jobs_[place] = last;
    settle(place);
}

std::optional<TubeId> JobQueue::tube(const std::string& name) {
    if (const auto known = find_tube(name)) return known;
    if (names_.size() >= bounds_.tubes) return std::nullopt;
    auto place = std::find(tubes_.begin(), tubes_.end(), nullptr);
    if (place == tubes_.end()) place = tubes_.insert(tubes_.end(), nullptr);
    *place = std::make_unique<Tube>();
    (*place)->name = name;
    return names_[name] = TubeId{static_cast<std::uint32_t>(place - tubes_.begin())};
}

std::optional<TubeId> JobQueue::find_tube(const std::string& name) const {
    const auto found = names_.find(name);
    return found == names_.end() ? std::nullopt : std::optional(found->second);
}

bool JobQueue::unused(TubeId tube) {
    --at(tube).users;
    return gone_if_idle(tube);
}

bool JobQueue::gone_if_idle(TubeId tube) {
    const Tube& t = at(tube);
    if (t.users > 0 || t.jobs() > 0) return false;
    names_.erase(t.name);
    tubes_[static_cast<std::size_t>(tube)].reset();
    return true;
}

std::optional<JobId> JobQueue::put(Micros now, TubeId tube, std::uint32_t priority, Micros delay,
                                   Micros time_to_run, std::string&& body) {
    const std::size_t weight = body.size() + kEach;
    if (jobs_.size() >= bounds_.jobs || bytes_ + weight > bounds_.bytes) return std::nullopt;
    const JobId id = next_id();
    Job& job = jobs_[id];
    job.id = id, job.tube = tube, job.priority = priority, job.time_to_run = time_to_run;
    job.body = std::move(body);
    job.put_at = now;
    job.state = State::handed;
    ++at(tube).handed, ++at(tube).total;
    bytes_ += weight;
    delay > 0 ? this->delay(job, now, delay) : make_ready(job);
    return id;
}

Job* JobQueue::find(JobId id) {
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : &found->second;
}

void JobQueue::leave(Job& job) {
    Tube& t = at(job.tube);
    switch (job.state) {
        case State::ready:
            t.ready.take(job);
            t.urgent -= job.priority < kUrgent;
            return;
        case State::delayed:
            return t.delayed.take(job);
        case State::buried:
            return (job.may_have_run ? t.withheld : t.buried).take(job);
        case State::handed:
            --t.handed;
            job.task = {};
            return;
    }
}

Job* JobQueue::first_ready(TubeId tube, Micros now) {
    const Tube& t = at(tube);
    return now < t.paused_until ? nullptr : t.ready.first();
}

void JobQueue::hand(Job& job, TaskId task) {
    leave(job);
    job.state = State::handed;
    job.task = task;
    ++at(job.tube).handed;
}

void JobQueue::make_ready(Job& job) {
    leave(job);
    job.state = State::ready;
    job.rank = job.priority;
    Tube& t = at(job.tube);
    t.urgent += job.priority < kUrgent;
    t.ready.add(job);
}

void JobQueue::delay(Job& job, Micros now, Micros by) {
    leave(job);
    job.state = State::delayed;
    job.delay = by;
    job.due = now + by;
    job.rank = static_cast<std::uint64_t>(job.due);
    at(job.tube).delayed.add(job);
}

void JobQueue::bury(Job& job) {
    leave(job);
    job.state = State::buried;
    job.rank = ++burials_;
    ++job.buries;
    (job.may_have_run ? at(job.tube).withheld : at(job.tube).buried).add(job);
}

bool JobQueue::remove(Job& job) {
    const TubeId tube = job.tube;
    leave(job);
    ++at(tube).deleted;
    bytes_ -= job.body.size() + kEach;
    jobs_.erase(job.id);
    return gone_if_idle(tube);
}

void JobQueue::pause(TubeId tube, Micros now, Micros by) {
    Tube& t = at(tube);
    t.pause = by;
    t.paused_until = now + by;
    ++t.pauses;
}

Micros JobQueue::pass(Micros now, std::size_t most, std::vector<TubeId>& stirred) {
    Micros next = 0;
    for (const auto& [name, id] : names_) {
        Tube& t = at(id);
        bool stirs = false;
        if (t.paused_until > 0 && t.paused_until <= now) t.paused_until = t.pause = 0, stirs = true;
        for (Job* job; (job = t.delayed.first()) && job->due <= now && most > 0; --most)
            make_ready(*job), stirs = true;
        if (stirs) stirred.push_back(id);
        for (const Micros at : {t.paused_until, t.delayed.first() ? t.delayed.first()->due : 0})
            if (at > 0 && (next == 0 || at < next)) next = at;
    }
    return next;
}

}  // namespace gannethold::queue
