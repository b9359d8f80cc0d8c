// Benchmarks of the beanstalk front: its throughput on one core, and the cost of a queued job.
#pragma once

#include <functional>
#include <string>

#include "types.hpp"

namespace gannethold::rehearsal {

// Results of measure_tubes().
struct TubeFigures {
    std::size_t connections = 0;
    double rounds_per_second = 0;       // a round is a put, a reserve and a delete
    double cpu_us_per_round = 0;        // of the dispatcher
    Micros p50 = 0, p99 = 0, p999 = 0;  // of a reserve with a ready job
    double memory_mb = 0;
};
// Runs put, reserve and delete in turn on each of the connections for `duration`. `program`: the dispatcher.
// `folder`: for its files.
TubeFigures measure_tubes(std::size_t connections, Micros duration, const std::string& program,
                          const std::string& folder);

// Results of measure_queue().
struct QueueFigures {
    std::size_t jobs = 0;
    double bytes_per_job = 0;  // of memory, with a body of 32 bytes
    double put_us = 0;
    double due_us = 0;       // per job, for 100,000 jobs that are due within one second
    double max_turn_us = 0;  // of the turns that made them ready
};
// Measures the job queue with that many delayed jobs.
QueueFigures measure_queue(std::size_t jobs);

}  // namespace gannethold::rehearsal
