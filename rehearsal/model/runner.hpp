// A runner as the rehearsal plays it. No I/O: time is passed in, what it says comes back as words. Both lanes
// drive this one class, on sockets and in virtual time.
//
//   runner.take(now, job, words);       a whole request has come
//   runner.pass(now, words);            let time pass; call at next() at the latest
//   runner.next()                       when it will next do something by itself
//
// Jobs wait in one queue, in which the first waits until it fits; those that run share the cores. A runner
// that has started is cold: it has a part of its speed, gains the rest over the warm-up, and falls over when
// it is sent much more than it can do meanwhile.
#pragma once

#include <cstdint>
#include <deque>
#include <limits>
#include <string>
#include <unordered_map>
#include <vector>

#include "model/chance.hpp"

namespace gannethold::rehearsal {

inline constexpr Micros kNever = std::numeric_limits<Micros>::max();

struct Job {
    std::uint64_t token = 0;        // of this assignment
    std::uint64_t request = 0;      // the client's request
    std::uint64_t fingerprint = 0;  // 0: none, a repeat runs again
    Micros work = 0;                // what a core of speed 1 takes
    double slots = 1, memory = 0;
    Micros repeats_within = 0;  // how long a repeat of the fingerprint is dropped
};

// What a runner is made of.
struct Build {
    double cores = 4, speed = 1;  // speed: work done by a core in a microsecond
    double slots = 4;             // what may run at once
    double memory = 1e9;
    std::size_t queue = 16;  // what may wait; one more is turned away
    double cold_from = 0.2;  // of its speed, just started
    Micros warm_after = 10'000'000;
    double topples_beyond = 4;  // sent that many times what it can do, a cold one falls over
    Micros topple_window = 2'000'000;
    Micros progress_every = 0;  // 0: says nothing between start and end
    bool tells_start = true;
    Micros handshake = 0;  // of one core, for each new connection
    Micros keeps_idle = 30'000'000;
};

enum class Said {
    started,   // the job began: from here on its effect has happened
    running,   // progress, with the share done
    done,      // the result
    failed,    // an error
    returned,  // turned away: never begun
    lost,      // killed while it ran
    garbled,   // an answer that nobody can read
    cut,       // an answer that ends before its last line
    broken,    // the connection is reset
    dropped    // a repeat, answered with the first one's result
};

struct Word {
    std::uint64_t token = 0, request = 0;
    Said said{};
    double share = 0;
};

struct Load {
    double free = 0, waiting = 0, held = 0, busy = 0, free_memory = 0;
};

// The repeats that a group of runners drops: which fingerprints any of them has begun, and when.
class GroupMemory {
  public:
    bool has(std::uint64_t fingerprint, Micros now) const {
        const auto found = begun_.find(fingerprint);
        return found != begun_.end() && now <= found->second;
    }
    void begin(std::uint64_t fingerprint, Micros until) { begun_[fingerprint] = until; }

  private:
    std::unordered_map<std::uint64_t, Micros> begun_;
};

// Troubles that may lie on a runner, each independent of the others.
struct Trouble {
    bool hangs = false;       // takes requests; nothing ends, no probe is answered
    bool stalls = false;      // what runs stands still; probes are answered
    double slowness = 1;      // all work takes so many times as long
    double errors = 0;        // the share answered with an error at once
    double garbles = 0;       // the share whose answer cannot be read
    double cuts = 0;          // the share whose answer ends too early
    double resets = 0;        // the share of uses of a kept connection that meet a reset
    Micros reports_late = 0;  // reports tell of the state so long ago
};

class Runner {
  public:
    Runner(std::string name, const Build& build, GroupMemory& group, Chance chance);

    bool up() const { return up_; }
    bool toppled() const { return toppled_; }
    const std::string& name() const { return name_; }
    const Build& build() const { return build_; }
    Trouble trouble;

    void take(Micros now, const Job& job, std::vector<Word>& out);
    // The connection that carried it is gone: what waits is dropped, what runs is stopped.
    void drop(Micros now, std::uint64_t token, std::vector<Word>& out);
    void connection_made(Micros now);  // costs the handshake
    void pass(Micros now, std::vector<Word>& out);
    Micros next() const;

    void crash(Micros now, std::vector<Word>& out);  // all that it had is lost with its connections
    void start(Micros now);                          // cold
    void apply(Micros now, const Trouble& changed);  // what ran so far ran as before

    Load load(Micros now) const;  // as a report tells it, late ones included
    bool answers_probes() const { return up_ && !trouble.hangs; }
    Micros started_at() const { return started_at_; }  // 0: before the rehearsal
    double capacity(Micros now) const;                 // work a microsecond, of all cores
    std::size_t held() const { return running_.size() + queue_.size(); }
    double fell_by() const { return fell_by_; }             // what it was sent as a multiple of its capacity
    std::vector<std::uint64_t> take_window_tokens() const;  // of those sent in the window before it fell

  private:
    struct Running {
        Job job;
        double left = 0;  // work
        Micros next_word = kNever;
    };
    double speed_of_each(Micros now) const;
    double warmth(Micros now) const;
    void advance(Micros now);
    void admit(Micros now, std::vector<Word>& out);
    void finish_due(Micros now, std::vector<Word>& out);
    void count_cold(Micros now, const Job& job, std::vector<Word>& out);
    void note_load(Micros now);

    const std::string name_;
    const Build build_;
    GroupMemory& group_;
    Chance chance_;
    bool up_ = true, toppled_ = false;
    Micros started_at_ = 0, last_ = 0;
    std::vector<Running> running_;
    std::deque<Job> queue_;
    struct Sent {
        Micros at;
        double work;
        std::uint64_t token;
    };
    std::deque<Sent> cold_sent_;
    double fell_by_ = 0, slots_out_ = 0, memory_out_ = 0;
    std::deque<std::pair<Micros, Load>> past_;
};

}  // namespace gannethold::rehearsal
