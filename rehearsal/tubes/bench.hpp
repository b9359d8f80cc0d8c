// What the front with tubes can take at most on one core, and what a job costs that waits.
#pragma once

#include <functional>
#include <string>

#include "types.hpp"

namespace gannethold::rehearsal {

struct TubeFigures {
    std::size_t connections = 0;
    double rounds_a_second = 0;         // each a put, a reserve and a delete
    double cpu_us_a_round = 0;          // of the dispatcher
    Micros p50 = 0, p99 = 0, p999 = 0;  // of a reserve that finds a job
    double memory_mb = 0;
};
// Connections that each put, reserve and delete one after the other, for so long. program, folder: as
// elsewhere.
TubeFigures measure_tubes(std::size_t connections, Micros lasting, const std::string& program,
                          const std::string& folder);

struct QueueFigures {
    std::size_t jobs = 0;
    double bytes_a_job = 0;  // of memory, with a body of 32 bytes
    double put_us = 0;
    double due_us = 0;           // a job, of 100,000 that are due within one second
    double longest_turn_us = 0;  // of those that took them over
};
QueueFigures measure_queue(std::size_t jobs);

}  // namespace gannethold::rehearsal
