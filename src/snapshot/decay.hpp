// The decay of a snapshot: estimates lose weight with age, and more if the runner was restarted or moved. No
// I/O and no clock: times are passed in.
#pragma once

#include <cstdint>
#include <string>

#include "snapshot/snapshot.hpp"

namespace gannethold::snapshot {

struct DecayPolicy {
    std::int64_t half_life_ms = 12 * 3'600'000LL;
    // A file from at most this far in the future counts as written now; a later one has no weight.
    std::int64_t max_clock_skew_ms = 300'000;
    double max_samples = 8;  // the weight of a restored histogram, in live samples
};

// The present identity of a runner that a snapshot names.
struct RunnerIdentity {
    std::string instance_type;
    std::string zone;
    std::string address;
    std::int64_t started_ms = 0;  // Unix time
};

// The remaining weight of estimates by their age, 0 to 1; times are Unix time.
double weight_by_age(std::int64_t written_ms, std::int64_t now_ms, const DecayPolicy& policy);

// The remaining weight of one runner's estimates, given the weight by their age: less after a restart or in
// another zone or address, none for another instance type.
double weight_of_runner(const SavedRunner& saved, const RunnerIdentity& current, double weight_by_age);

// The same distribution, scaled to `weight` times its samples or `max_samples`, whichever are fewer.
HistogramBins decayed(const HistogramBins& bins, double weight, double max_samples);

}  // namespace gannethold::snapshot
