// How much one dispatcher can take: closed loops of clients, runners that answer at once, and nothing else in
// the way. Clients and runners are processes of their own with no more in them than this needs, so that what
// is measured is the dispatcher; the same clients ask the runners directly for comparison.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "results/latencies.hpp"

namespace gannethold::rehearsal {

struct CeilingPlan {
    std::size_t connections = 64, runners = 4;
    Micros work = 0;         // a runner's answer comes so long after the request; 0: at once
    std::size_t slots = 64;  // that it reports, less those in use
    bool reports = true;
    double seconds = 3, warm = 1.5;
    std::size_t generators = 2, echoes = 3;  // processes
};

struct CeilingFigures {
    double tasks_a_second = 0, cpu_us_a_task = 0, memory_mb = 0;
    std::uint64_t finished = 0, bounced = 0, failed = 0;
    Micros p50 = 0, p99 = 0, p999 = 0;
    Micros direct_p50 = 0, direct_p99 = 0, direct_p999 = 0;
    double direct_a_second = 0;
};

// Throws std::runtime_error where the dispatcher does not come up or processes cannot be had.
CeilingFigures measure_ceiling(const CeilingPlan& plan, const std::string& program,
                               const std::string& folder);

}  // namespace gannethold::rehearsal
