// What a dispatcher has learned and keeps over a restart. Plain data: runners, instance types and workloads
// go by name, since each process numbers them anew.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace gannethold::snapshot {

// The weight in each bin of a gannethold::Histogram of latencies.
using HistogramBins = std::vector<float>;

struct SavedRunner {
    std::string name;
    std::string instance_type;
    std::string zone;
    std::string address;
    std::int64_t started_ms = 0;  // Unix time; 0: unknown, long ago
    HistogramBins latency;        // relative to a task's cost
    double min_latency = 0;       // likewise; 0: none seen
    double slots = 0;             // tasks that it serves at once
    double fraction = 0;          // of all traffic, 0 to 1
};

struct SavedInstanceType {
    std::string name;  // empty: every instance type that the settings do not name
    HistogramBins latency;
    double weight = 0;
};

struct SavedWorkload {
    std::string name;
    HistogramBins latency;  // relative to the due time
};

// An operator's order to send a runner nothing new.
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
