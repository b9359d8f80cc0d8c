// The learned state that a dispatcher keeps across a restart. Plain data: runners, instance types and
// workloads are identified by name, since each process assigns its own ids.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace gannethold::snapshot {

// The weight of each bin of a gannethold::Histogram of latencies.
using HistogramBins = std::vector<float>;

// The estimates of one runner.
struct SavedRunner {
    std::string name;
    std::string instance_type;
    std::string zone;
    std::string address;
    std::int64_t started_ms = 0;  // Unix time; 0: unknown, long ago
    HistogramBins latency;        // relative to a task's cost
    double min_latency = 0;       // likewise; 0: none seen
    double slots = 0;             // concurrent tasks
    double fraction = 0;          // its share of all traffic, 0 to 1
};

// The estimates shared by the runners of an instance type.
struct SavedInstanceType {
    std::string name;  // empty: all instance types that the settings do not name
    HistogramBins latency;
    double weight = 0;
};

// The estimates of one workload.
struct SavedWorkload {
    std::string name;
    HistogramBins latency;  // relative to the due time
};

// An operator's hold on a runner: no new tasks are sent to it.
struct SavedOverride {
    std::string runner;
    std::string operator_name;
    std::string reason;
    std::int64_t since_ms = 0;  // Unix time
};

struct Snapshot {
    std::int64_t written_ms = 0;  // Unix time
    std::string dispatcher;
    std::vector<SavedRunner> runners;
    std::vector<SavedInstanceType> instance_types;
    std::vector<SavedWorkload> workloads;
    std::vector<SavedOverride> overrides;
    double typical_cost_us = 0;
};

}  // namespace gannethold::snapshot
