// A job queue with beanstalkd's semantics: in each tube, ready jobs are ordered by priority and age, delayed
// jobs by their due time, and buried jobs wait until they are kicked. Bounded in count and bytes. No I/O and
// no clock: times are passed in, in microseconds. A reserved job is in no heap.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "types.hpp"

namespace gannethold::queue {

enum class JobId : std::uint64_t {};
enum class TubeId : std::uint32_t {};
enum class State : std::uint8_t { ready, delayed, reserved, buried };

// A job, from its put to its removal.
struct Job {
    JobId id{};
    std::uint64_t heap_key = 0;  // in its heap; ties go to the lower id, the older job
    std::string body;
    Micros put_at = 0, due_at = 0, delay = 0, time_to_run = 0;
    TaskId task{};  // while it is reserved
    TubeId tube{};
    std::uint32_t priority = 0, heap_index = 0;
    std::uint32_t reserves = 0, timeouts = 0, releases = 0, buries = 0, kicks = 0;
    State state = State::ready;
    bool may_have_run = false;
};

// A binary heap of jobs that know their index in it, so that any job can be removed.
class JobHeap {
  public:
    void add(Job& job);
    void remove(Job& job);
    Job* first() const { return jobs_.empty() ? nullptr : jobs_.front(); }
    std::size_t size() const { return jobs_.size(); }

  private:
    static bool comes_before(const Job& a, const Job& b) {
        return a.heap_key != b.heap_key ? a.heap_key < b.heap_key : a.id < b.id;
    }
    void sift(std::size_t index);
    void put(std::size_t index, Job* job);

    std::vector<Job*> jobs_;
};

// A named queue.
struct Tube {
    std::string name;
    JobHeap ready, delayed, buried;
    JobHeap withheld;  // buried, and may have run: not released by a plain kick
    std::size_t reserved = 0, urgent = 0, users = 0;  // users: connections that use or watch it
    std::uint64_t total_jobs = 0, deleted_jobs = 0, pauses = 0;
    Micros pause = 0, paused_until = 0;

    std::size_t jobs() const {
        return ready.size() + delayed.size() + buried.size() + withheld.size() + reserved;
    }
};

// Bounds of the whole queue.
struct QueueLimits {
    std::size_t max_jobs = 1'000'000, max_bytes = std::size_t{256} << 20, max_tubes = 128;
};

class JobQueue {
  public:
    explicit JobQueue(QueueLimits limits) : limits_(limits) {}

    // The tube of that name, created if it does not exist; nullopt: the limit of tubes is reached.
    std::optional<TubeId> find_or_create_tube(const std::string& name);
    std::optional<TubeId> find_tube(const std::string& name) const;
    bool has_tube(TubeId tube) const {
        return static_cast<std::size_t>(tube) < tubes_.size() && tubes_[static_cast<std::size_t>(tube)];
    }
    Tube& at(TubeId tube) { return *tubes_[static_cast<std::size_t>(tube)]; }
    const Tube& at(TubeId tube) const { return *tubes_[static_cast<std::size_t>(tube)]; }
    void add_user(TubeId tube) { ++at(tube).users; }
    // Removes the tube if it has no users and no jobs left, and returns true then.
    bool remove_user(TubeId tube);
    template <class Callback>
    void for_each_tube(Callback callback) const {
        for (const auto& [name, id] : tube_ids_) callback(id, at(id));
    }

    // Adds a job; nullopt: it would exceed the limits.
    std::optional<JobId> put(Micros now, TubeId tube, std::uint32_t priority, Micros delay,
                             Micros time_to_run, std::string&& body);
    JobId next_id() { return JobId{++last_id_}; }  // for a job that is reserved without a put
    Job* find(JobId id);

    Job* first_ready(TubeId tube, Micros now);  // nullptr: none is ready, or the tube is paused
    void reserve(Job& job, TaskId task);        // removes it from its heap
    void make_ready(Job& job);
    void delay(Job& job, Micros now, Micros by);
    void bury(Job& job);
    bool remove(Job& job);  // invalidates the reference; true: its tube was removed too
    void pause(TubeId tube, Micros now, Micros by);
    // Makes due delayed jobs ready and ends pauses that are over; adds the tubes concerned to
    // `changed_tubes`. At most `max_jobs` jobs in one call, so that a burst does not block the loop. Returns
    // the time of the next change, a past one if more jobs are due already, or 0 if nothing changes with time
    // alone.
    Micros advance(Micros now, std::size_t max_jobs, std::vector<TubeId>& changed_tubes);

    std::size_t size() const { return jobs_.size(); }
    std::size_t bytes() const { return bytes_; }
    const QueueLimits& limits() const { return limits_; }

  private:
    void remove_from_heap(Job& job);
    bool remove_tube_if_unused(TubeId tube);

    const QueueLimits limits_;
    std::unordered_map<JobId, Job> jobs_;
    std::vector<std::unique_ptr<Tube>> tubes_;  // by id; nullptr: that id is free
    std::map<std::string, TubeId> tube_ids_;
    std::size_t bytes_ = 0;
    std::uint64_t last_id_ = 0, bury_count_ = 0;
};

}  // namespace gannethold::queue
