// The judge holds a rehearsal against the four rules. It goes by what clients, runners and discovery saw,
// never by what a dispatcher says of itself. No I/O; both lanes tell it the same sightings, in the order of
// time.
//
//   1  exactly one final answer to each task taken, before its expiry, and nothing sent after it
//   2  no effect twice, and a bounce only where trying again is harmless
//   3  nothing new to a runner past the grace after word that it drains or is gone
//   4  no cold runner pushed over by those who were told of its start
//
// A breach comes with the task's whole story.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "day/day.hpp"

namespace gannethold::rehearsal {

enum class Final { finished, bounced, abandoned };

struct Breach {
    int rule = 0;
    Micros at = 0;
    std::string what, story;
};

class Judge {
  public:
    explicit Judge(const Day& day);

    // ---- what clients saw ----
    struct Handed {
        std::uint64_t request = 0;
        std::size_t workload = 0, dispatcher = 0;
        Micros expiry = 0;  // the point in time
    };
    void handed_in(Micros now, const Handed& task);  // its last byte was taken by an accepted connection
    // result_for: whose result the answer holds, as the runner wrote it into it.
    void answered(Micros now, std::uint64_t request, Final how, std::uint64_t result_for = 0);
    void cut_off(Micros now, std::uint64_t request);  // the connection ended with no whole answer
    void left(Micros now, std::uint64_t request);     // the client went away

    // ---- what runners saw ----
    // first_byte: when the first byte came; takes: what the way to it takes.
    void reached(Micros now, std::uint64_t request, std::uint64_t token, std::size_t runner,
                 std::size_t dispatcher, Micros first_byte, Micros takes);
    void said(Micros now, const Word& word);
    void connection_gone(Micros now, std::uint64_t request,
                         std::uint64_t token);  // the dispatcher gave it up
    void toppled(Micros now, std::size_t runner, const std::vector<std::uint64_t>& tokens);

    // ---- what discovery told, and what became of the dispatchers ----
    void told(Micros now, std::size_t dispatcher, std::size_t runner, RunnerState state, Micros started_at);
    void died(Micros now, std::size_t dispatcher);  // killed: what it had is its clients' to repeat
    // A stretch in which clients and dispatchers could not reach each other: what waits then is excused.
    void unreachable(std::size_t dispatcher, bool now_unreachable);

    void pass(Micros now);   // looks for answers that did not come
    void close(Micros now);  // the day is over and everybody was given time to end

    const std::vector<Breach>& breaches() const { return breaches_; }
    std::size_t count(int rule) const { return counts_[static_cast<std::size_t>(rule)]; }
    std::size_t all() const { return counts_[1] + counts_[2] + counts_[3] + counts_[4]; }
    std::uint64_t tasks_seen() const { return tasks_seen_; }
    std::uint64_t assignments_seen() const { return assignments_seen_; }
    std::uint64_t effects_seen() const { return effects_seen_; }

  private:
    enum class What : std::uint8_t {
        handed_in,
        finished,
        bounced,
        abandoned,
        cut_off,
        left,
        reached,
        started,
        running,
        done,
        failed,
        returned,
        lost,
        garbled,
        cut,
        broken,
        dropped,
        given_up
    };
    struct Sighting {
        Micros at;
        std::uint64_t token;
        std::uint32_t who;
        What what;
    };
    struct Leg {
        std::uint64_t token;
        std::size_t runner, dispatcher;
        Micros at, ended = 0;
        bool returned = false;
        Micros sent;
    };
    struct Case {
        Handed task;
        std::vector<Sighting> seen;
        std::vector<Leg> legs;
        Micros answer_at = 0;
        bool over = false, excused = false, bounced = false, made = false;
    };
    struct Told {
        RunnerState state = RunnerState::ready;
        Micros at = 0, started_at = 0;
    };

    Case* find(std::uint64_t request);
    Leg* leg(Case& c, std::uint64_t token);
    void breach(int rule, Micros at, const Case* c, std::string what);
    std::string story(const Case& c) const;
    bool same_group(std::size_t workload, std::size_t a, std::size_t b) const;
    void check_bounce(Case& c, Micros at);
    void check_together(Case& c);
    void retire(std::uint64_t request, Micros at);

    const Day& day_;
    std::unordered_map<std::uint64_t, Case> cases_;
    std::set<std::pair<Micros, std::uint64_t>> due_;        // when an answer must have come
    std::deque<std::pair<Micros, std::uint64_t>> retired_;  // kept a while, for what comes after the end
    std::vector<std::map<std::size_t, Told>> told_;         // by dispatcher and runner
    std::map<std::uint64_t, std::size_t> cold_tokens_;      // whose assignment it was, for those lately sent
    std::deque<std::pair<Micros, std::uint64_t>> cold_order_;
    std::vector<bool> unreachable_;
    std::array<std::size_t, 5> counts_{};
    std::vector<Breach> breaches_;
    std::uint64_t tasks_seen_ = 0, assignments_seen_ = 0, effects_seen_ = 0;
};

}  // namespace gannethold::rehearsal
