// Jobs that wait longer than a client would: ready ones by priority and age in their tubes, delayed ones by
// when they are due, buried ones until somebody kicks them. Bounded in count and bytes. No I/O and no clock:
// times are passed in, in microseconds. What is handed out has left the order and is only remembered here.
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
enum class State : std::uint8_t { ready, delayed, handed, buried };

struct Job {
    JobId id{};
    std::uint64_t rank = 0;  // in the heap that it is in; the id settles a tie, so age does
    std::string body;
    Micros put_at = 0, due = 0, delay = 0, time_to_run = 0;
    TaskId task{};  // while it is handed out
    TubeId tube{};
    std::uint32_t priority = 0, place = 0;
    std::uint32_t reserves = 0, timeouts = 0, releases = 0, buries = 0, kicks = 0;
    State state = State::ready;
    bool may_have_run = false;
};

// A binary heap of jobs that know their place, so that any can be taken out.
class JobHeap {
  public:
    void add(Job& job);
    void take(Job& job);
    Job* first() const { return jobs_.empty() ? nullptr : jobs_.front(); }
    std::size_t size() const { return jobs_.size(); }

  private:
    static bool before(const Job& a, const Job& b) {
        return a.rank != b.rank ? a.rank < b.rank : a.id < b.id;
    }
    void settle(std::size_t place);
    void put(std::size_t place, Job* job);

    std::vector<Job*> jobs_;
};

struct Tube {
    std::string name;
    JobHeap ready, delayed, buried;
    JobHeap withheld;                               // buried, and may have run: not for everybody to kick
    std::size_t handed = 0, urgent = 0, users = 0;  // users: whoever uses or watches it
    std::uint64_t total = 0, deleted = 0, pauses = 0;
    Micros pause = 0, paused_until = 0;

    std::size_t jobs() const {
        return ready.size() + delayed.size() + buried.size() + withheld.size() + handed;
    }
};

struct Bounds {
    std::size_t jobs = 1'000'000, bytes = std::size_t{256} << 20, tubes = 128;
};

class JobQueue {
  public:
    explicit JobQueue(Bounds bounds) : bounds_(bounds) {}

    // A tube by its name, made where there is none; none: there are as many as there may be.
    std::optional<TubeId> tube(const std::string& name);
    std::optional<TubeId> find_tube(const std::string& name) const;
    bool has(TubeId tube) const {
        return static_cast<std::size_t>(tube) < tubes_.size() && tubes_[static_cast<std::size_t>(tube)];
    }
    Tube& at(TubeId tube) { return *tubes_[static_cast<std::size_t>(tube)]; }
    const Tube& at(TubeId tube) const { return *tubes_[static_cast<std::size_t>(tube)]; }
    void used(TubeId tube) { ++at(tube).users; }
    // The last user of an empty one takes it along. True where it is gone.
    bool unused(TubeId tube);
    template <class Do>
    void each_tube(Do what) const {
        for (const auto& [name, id] : names_) what(id, at(id));
    }

    // Takes a job; none: over the bounds.
    std::optional<JobId> put(Micros now, TubeId tube, std::uint32_t priority, Micros delay,
                             Micros time_to_run, std::string&& body);
    JobId next_id() { return JobId{++last_}; }  // for what is handed out without having been put
    Job* find(JobId id);

    Job* first_ready(TubeId tube, Micros now);  // none: nothing is ready, or it is paused
    void hand(Job& job, TaskId task);           // out of the order
    void make_ready(Job& job);
    void delay(Job& job, Micros now, Micros by);
    void bury(Job& job);
    bool remove(Job& job);  // the reference is not good after; true where its tube is gone with it
    void pause(TubeId tube, Micros now, Micros by);
    // What was delayed and is due becomes ready, at most so many in one go against a burst that holds up a
    // loop; returns when something changes next, now if there is more, 0 if nothing does by itself.
    Micros pass(Micros now, std::size_t most, std::vector<TubeId>& stirred);

    std::size_t size() const { return jobs_.size(); }
    std::size_t bytes() const { return bytes_; }
    const Bounds& bounds() const { return bounds_; }

  private:
    void leave(Job& job);
    bool gone_if_idle(TubeId tube);

    const Bounds bounds_;
    std::unordered_map<JobId, Job> jobs_;
    std::vector<std::unique_ptr<Tube>> tubes_;  // by id; a place without one is free
    std::map<std::string, TubeId> names_;
    std::size_t bytes_ = 0;
    std::uint64_t last_ = 0, burials_ = 0;
};

}  // namespace gannethold::queue
