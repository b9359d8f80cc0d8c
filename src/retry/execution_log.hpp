// Which tasks with effects are still out, may have run, or have ended, so that a retry of one never becomes a
// second run: it joins the first, or hears what became of it. No I/O and no clock: times are passed in, in
// microseconds.
//
// Bounded: what ended falls out by its age, and the oldest first where there is too much of it; what is out
// never does, as tasks are bounded elsewhere. A retry of what fell out is taken for a first try: keep `keep`
// above the time that clients go on retrying, and `most` above the tasks with effects of that time.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "types.hpp"

namespace gannethold::storms {

// How long and how much it remembers; from the operators' file.
struct Recollection {
    bool on = false;
    bool by_path = false;  // a marked repeat without a key is known by workload, customer and key of its path
    Micros keep = 600'000'000;           // after the end
    std::size_t most = 10'000;           // that have ended
    std::size_t most_bytes = 4 << 20;    // of signs and results
    std::size_t longest_result = 8'192;  // a longer one is not kept: its retry hears that it may have run
};

enum class RunState { out, finished, may_have_run };

class RunBook {
  public:
    explicit RunBook(Recollection how) : how_(how) {}

    struct Known {
        RunState state{};
        TaskId task{};  // while it is out
        const std::string* result =
            nullptr;  // of one that finished, where it was kept; good until the next call
    };
    // What is known of it; none: it is new, or fell out.
    std::optional<Known> find(Micros now, const std::string& sign);

    void began(Micros now, const std::string& sign, TaskId task);
    // Its final answer, or that nobody waits for it any more. One that certainly never ran is forgotten: a
    // retry is a first try. Of a sign by which another task is out by now nothing is noted.
    void finished(Micros now, const std::string& sign, TaskId task, std::string_view result);
    void may_have_run(Micros now, const std::string& sign, TaskId task);
    void never_ran(const std::string& sign, TaskId task);

    std::size_t size() const { return runs_.size(); }
    std::size_t bytes() const { return bytes_; }
    std::uint64_t fallen_out() const { return fallen_out_; }  // before their time

  private:
    struct Run {
        RunState state = RunState::out;
        TaskId task{};
        Micros ended_at = 0;
        std::uint64_t number = 0;
        std::string result;
        bool kept = false;  // whether the result is
    };
    using Runs = std::unordered_map<std::string, Run>;
    void end(Micros now, Runs::iterator run, RunState state);
    Runs::iterator out(const std::string& sign, TaskId task);
    void forget(Runs::iterator run);
    void pass(Micros now);
    static std::size_t weight(const Runs::value_type& run) {
        return 160 + run.first.size() + run.second.result.size();
    }

    const Recollection how_;
    Runs runs_;
    std::deque<std::pair<std::string, std::uint64_t>>
        ended_;  // the oldest first; a number that differs is of another run
    std::size_t bytes_ = 0, ended_runs_ = 0;
    std::uint64_t numbers_ = 0, fallen_out_ = 0;
};

}  // namespace gannethold::storms
