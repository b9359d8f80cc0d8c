// What a run measured, as plain values.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "scale/meter.hpp"
#include "scale/operator.hpp"
#include "scale/options.hpp"
#include "scale/process.hpp"

namespace gannethold::scale {

/// One reading a second.
struct Sample {
    double at_s = 0;
    int leader = -1, registered = 0;
    double leader_processor = 0;  // cores
    double leader_memory_mb = 0;
    int leader_descriptors = 0;
    double other_memory_mb = 0;                       // of the controller that does not lead and holds most
    double proxy_memory_mb = 0, proxy_processor = 0;  // of the first real one
    double driver_processor = 0;                      // of this program, all threads
};

/// Counters at one moment.
struct Reading {
    Micros at = 0;
    Traffic sent, received;  // by hollow proxies
    std::vector<Usage> controllers, proxies;
    int leader = -1;
    std::uint64_t asked = 0, granted = 0, denied = 0, unasked = 0, alone = 0, dials = 0;
};

/// What one fault did. Times in seconds since the fault; nothing: not within the wait.
struct Recovery {
    Fault fault = Fault::leader_killed;
    std::optional<double> first_registered, most_registered, all_registered, first_served;
    std::uint64_t dials = 0;
    double most_leader_memory_mb = 0;
    int most_descriptors = 0;
};

struct Measurements {
    Options options;
    std::optional<double> start_s;  // until all were registered and held the first configuration
    std::size_t configuration_bytes = 0;
    std::vector<Sample> samples;
    Reading before, after;  // of the steady part
    std::vector<Change> changes;
    std::vector<Recovery> recoveries;
    std::vector<double> slot_waits_ms;
    Answers answers;
    std::vector<std::string> ended_by_themselves;
    double most_memory_mb = 0;  // of all processes together
    double hollow_seconds = 0, steady_s = 0;
    std::size_t instances_at_end = 0;
    int starts = 0, stops = 0, pages = 0;
    std::string stopped_early;  // why; empty: it was not
};

}  // namespace gannethold::scale
