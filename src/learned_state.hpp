// What a dispatcher has learned and hands over to its successor. It holds estimates only: nothing in it makes
// a runner ready or healthy or ends its slow start.
#pragma once

#include <cstddef>
#include <vector>

#include "histogram.hpp"
#include "types.hpp"

namespace gannethold {

struct RunnerEstimates {
    RunnerId runner{};
    Histogram latency;  // relative to the task's cost
    double min_latency = 0, slots = 0, fraction = 0;
    // Set only in a handover between two live processes; they mean nothing in a stored snapshot.
    Micros ejected_for = 0, warming_for = -1;  // 0: not ejected; -1: not in slow start
};
struct InstanceTypeEstimates {
    InstanceTypeId instance_type{};
    Histogram latency;
    double weight = 0;
};
struct LearnedState {
    std::vector<RunnerEstimates> runners;
    std::size_t table_size = 0;  // rows of the runner table, ready or not
    std::vector<InstanceTypeEstimates> instance_types;
    std::vector<Histogram> workloads;  // by workload id; relative to the due time
    double typical_cost = 0;           // microseconds
};

}  // namespace gannethold
