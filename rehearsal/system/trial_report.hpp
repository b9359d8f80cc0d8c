// What a trial prints and draws.
#pragma once

#include <string>
#include <vector>

#include "load_generator.hpp"

namespace gannethold::trial {

/// One second of the trial.
struct Sample {
    int requests = 0;
    int runners = 0;
};

struct TrialResult {
    Outcomes outcomes;
    int starts = 0;
    int stops = 0;
    int rejected_by_runners = 0;
    int excess_runs = 0;
    std::vector<Sample> samples;

    /// Nothing ran too often, and nine in ten requests were answered.
    bool is_success() const;
};

void print_report(const TrialResult& result);
/// Requests and runners over time, as an SVG file.
void write_plot(const TrialResult& result, const std::string& file);

}  // namespace gannethold::trial
