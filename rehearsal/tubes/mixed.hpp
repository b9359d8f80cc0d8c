// A day on which both protocols go through one real dispatcher: clients and runners over HTTP, producers and
// workers of tubes, workers that crash, hang, hand back and bury, runners that break, and a drain that is
// undone. What became of each task and job is counted by what clients, workers and runners saw themselves.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "types.hpp"

namespace gannethold::rehearsal {

struct MixedPlan {
    std::uint64_t seed = 1;
    Micros length = 12'000'000;  // of the load; what is left is then worked off
    std::size_t producers = 4, workers = 12, clients = 8, runners = 3;
    double jobs_a_second = 150, tasks_a_second = 100;
    Micros work = 20'000;
    bool drains = true;
};

struct MixedResult {
    std::uint64_t put = 0, put_refused = 0, jobs_done = 0, jobs_buried = 0, jobs_left = 0, handed_out = 0,
                  released = 0, late_words = 0;
    std::uint64_t worker_crashes = 0, worker_hangs = 0, runner_breaks = 0;
    std::uint64_t tasks = 0, answered[3] = {0, 0, 0}, tasks_by_workers = 0, jobs_by_runners = 0;
    std::vector<std::string> broken;  // one line each: what the rules forbid
    std::string trouble;              // why there is no verdict
};

// program: the dispatcher. folder: for its files, there and empty.
MixedResult play_mixed(const MixedPlan& plan, const std::string& program, const std::string& folder,
                       const std::function<bool()>& stop);

}  // namespace gannethold::rehearsal
