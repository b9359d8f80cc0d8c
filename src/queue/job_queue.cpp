#include "queue/job_queue.hpp"

#include <algorithm>

namespace gannethold::queue {
namespace {

constexpr std::uint32_t kUrgentPriority = 1'024;  // jobs below it count as urgent, as defined by the protocol
constexpr std::size_t kJobOverheadBytes = 200;    // memory of a job besides its body, about

}  // namespace

void JobHeap::put(std::size_t index, Job* job) {
    jobs_[index] = job;
    job->heap_index = static_cast<std::uint32_t>(index);
}

void JobHeap::sift(std::size_t index) {
    Job* const job = jobs_[index];
    while (index > 0 && comes_before(*job, *jobs_[(index - 1) / 2])) {
        put(index, jobs_[(index - 1) / 2]);
        index = (index - 1) / 2;
    }
    for (std::size_t child; (child = 2 * index + 1) < jobs_.size(); index = child) {
        if (child + 1 < jobs_.size() && comes_before(*jobs_[child + 1], *jobs_[child])) ++child;
        if (!comes_before(*jobs_[child], *job)) break;
        put(index, jobs_[child]);
    }
    put(index, job);
}

void JobHeap::add(Job& job) {
    jobs_.push_back(&job);
    sift(jobs_.size() - 1);
}

void JobHeap::remove(Job& job) {
    const std::size_t index = job.heap_index;
    Job* const last = jobs_.back();
    jobs_.pop_back();
    if (last == &job) return;
    jobs_[index] = last;
    sift(index);
}

std::optional<TubeId> JobQueue::find_or_create_tube(const std::string& name) {
    if (const auto known = find_tube(name)) return known;
    if (tube_ids_.size() >= limits_.max_tubes) return std::nullopt;
    auto slot = std::find(tubes_.begin(), tubes_.end(), nullptr);
    if (slot == tubes_.end()) slot = tubes_.insert(tubes_.end(), nullptr);
    *slot = std::make_unique<Tube>();
    (*slot)->name = name;
    return tube_ids_[name] = TubeId{static_cast<std::uint32_t>(slot - tubes_.begin())};
}

std::optional<TubeId> JobQueue::find_tube(const std::string& name) const {
    const auto found = tube_ids_.find(name);
    return found == tube_ids_.end() ? std::nullopt : std::optional(found->second);
}

bool JobQueue::remove_user(TubeId tube) {
    --at(tube).users;
    return remove_tube_if_unused(tube);
}

bool JobQueue::remove_tube_if_unused(TubeId tube) {
    const Tube& t = at(tube);
    if (t.users > 0 || t.jobs() > 0) return false;
    tube_ids_.erase(t.name);
    tubes_[static_cast<std::size_t>(tube)].reset();
    return true;
}

std::optional<JobId> JobQueue::put(Micros now, TubeId tube, std::uint32_t priority, Micros delay,
                                   Micros time_to_run, std::string&& body) {
    const std::size_t job_bytes = body.size() + kJobOverheadBytes;
    if (jobs_.size() >= limits_.max_jobs || bytes_ + job_bytes > limits_.max_bytes) return std::nullopt;
    const JobId id = next_id();
    Job& job = jobs_[id];
    job.id = id, job.tube = tube, job.priority = priority, job.time_to_run = time_to_run;
    job.body = std::move(body);
    job.put_at = now;
    job.state = State::reserved;
    ++at(tube).reserved, ++at(tube).total_jobs;
    bytes_ += job_bytes;
    delay > 0 ? this->delay(job, now, delay) : make_ready(job);
    return id;
}

Job* JobQueue::find(JobId id) {
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : &found->second;
}

void JobQueue::remove_from_heap(Job& job) {
    Tube& t = at(job.tube);
    switch (job.state) {
        case State::ready:
            t.ready.remove(job);
            t.urgent -= job.priority < kUrgentPriority;
            return;
        case State::delayed:
            return t.delayed.remove(job);
        case State::buried:
            return (job.may_have_run ? t.withheld : t.buried).remove(job);
        case State::reserved:
            --t.reserved;
            job.task = {};
            return;
    }
}

Job* JobQueue::first_ready(TubeId tube, Micros now) {
    const Tube& t = at(tube);
    return now < t.paused_until ? nullptr : t.ready.first();
}

void JobQueue::reserve(Job& job, TaskId task) {
    remove_from_heap(job);
    job.state = State::reserved;
    job.task = task;
    ++at(job.tube).reserved;
}

void JobQueue::make_ready(Job& job) {
    remove_from_heap(job);
    job.state = State::ready;
    job.heap_key = job.priority;
    Tube& t = at(job.tube);
    t.urgent += job.priority < kUrgentPriority;
    t.ready.add(job);
}

void JobQueue::delay(Job& job, Micros now, Micros by) {
    remove_from_heap(job);
    job.state = State::delayed;
    job.delay = by;
    job.due_at = now + by;
    job.heap_key = static_cast<std::uint64_t>(job.due_at);
    at(job.tube).delayed.add(job);
}

void JobQueue::bury(Job& job) {
    remove_from_heap(job);
    job.state = State::buried;
    job.heap_key = ++bury_count_;
    ++job.buries;
    (job.may_have_run ? at(job.tube).withheld : at(job.tube).buried).add(job);
}

bool JobQueue::remove(Job& job) {
    const TubeId tube = job.tube;
    remove_from_heap(job);
    ++at(tube).deleted_jobs;
    bytes_ -= job.body.size() + kJobOverheadBytes;
    jobs_.erase(job.id);
    return remove_tube_if_unused(tube);
}

void JobQueue::pause(TubeId tube, Micros now, Micros by) {
    Tube& t = at(tube);
    t.pause = by;
    t.paused_until = now + by;
    ++t.pauses;
}

Micros JobQueue::advance(Micros now, std::size_t max_jobs, std::vector<TubeId>& changed_tubes) {
    Micros next = 0;
    for (const auto& [name, id] : tube_ids_) {
        Tube& t = at(id);
        bool is_changed = false;
        if (t.paused_until > 0 && t.paused_until <= now) t.paused_until = t.pause = 0, is_changed = true;
        for (Job* job; (job = t.delayed.first()) && job->due_at <= now && max_jobs > 0; --max_jobs)
            make_ready(*job), is_changed = true;
        if (is_changed) changed_tubes.push_back(id);
        for (const Micros at : {t.paused_until, t.delayed.first() ? t.delayed.first()->due_at : 0})
            if (at > 0 && (next == 0 || at < next)) next = at;
    }
    return next;
}

}  // namespace gannethold::queue
