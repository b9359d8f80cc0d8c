// A rehearsal in which one real dispatcher serves both protocols: clients and runners over HTTP, and
// beanstalk producers and workers. Workers crash, hang, release and bury jobs, runners break connections, and
// a drain is started and cancelled. The verdict on each task and job uses only what clients, workers and
// runners observed.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "types.hpp"

namespace gannethold::rehearsal {

// The load and the faults of a run.
struct MixedPlan {
    std::uint64_t seed = 1;
    Micros duration = 12'000'000;  // of the load; remaining jobs are finished afterwards
    std::size_t producers = 4, workers = 12, clients = 8, runners = 3;
    double jobs_per_second = 150, tasks_per_second = 100;
    Micros work_time = 20'000;
    bool has_drain = true;
};

// Counts and verdict of a run.
struct MixedResult {
    std::uint64_t put = 0, put_refused = 0, jobs_done = 0, jobs_buried = 0, jobs_left = 0, jobs_reserved = 0,
                  jobs_released = 0, late_commands = 0;
    std::uint64_t worker_crashes = 0, worker_hangs = 0, runner_breaks = 0;
    std::uint64_t tasks = 0, answered[3] = {0, 0, 0}, tasks_by_workers = 0, jobs_by_runners = 0;
    std::vector<std::string> violations;  // violations of the delivery guarantees, one line each
    std::string error;                    // the reason if there is no verdict
};

// `program`: the dispatcher. `folder`: for its files; must exist and be empty.
MixedResult run_mixed_rehearsal(const MixedPlan& plan, const std::string& program, const std::string& folder,
                                const std::function<bool()>& stop);

}  // namespace gannethold::rehearsal
