#include "snapshot/decay.hpp"

#include <algorithm>
#include <cmath>

namespace gannethold::snapshot {
namespace {

// A restarted process on the same machine: most of the estimates depend on the machine.
constexpr double kRestartedFactor = 0.5;
// In another zone or at another address, it may be another machine of the same instance type.
constexpr double kRelocatedFactor = 0.25;
constexpr double kNegligibleWeight = 0.02;

double zero_if_negligible(double weight) { return weight < kNegligibleWeight ? 0 : weight; }

double sum_of(const HistogramBins& bins) {
    double sum = 0;
    for (const float bin : bins) sum += bin;
    return sum;
}

}  // namespace

double weight_by_age(std::int64_t written_ms, std::int64_t now_ms, const DecayPolicy& policy) {
    const std::int64_t age_ms = now_ms - written_ms;
    if (age_ms < -policy.max_clock_skew_ms || written_ms <= 0) return 0;
    const double half_lives = static_cast<double>(std::max<std::int64_t>(0, age_ms)) /
                              static_cast<double>(std::max<std::int64_t>(1, policy.half_life_ms));
    return zero_if_negligible(std::exp2(-half_lives));
}

double weight_of_runner(const SavedRunner& saved, const RunnerIdentity& current, double weight_by_age) {
    if (saved.instance_type != current.instance_type) return 0;
    double weight = weight_by_age;
    if (saved.started_ms != current.started_ms) weight *= kRestartedFactor;
    if (saved.zone != current.zone || saved.address != current.address) weight *= kRelocatedFactor;
    return zero_if_negligible(weight);
}

HistogramBins decayed(const HistogramBins& bins, double weight, double max_samples) {
    const double sum = sum_of(bins);
    if (sum <= 0 || weight <= 0) return {};
    const double scale = std::min(sum, max_samples) / sum * weight;
    HistogramBins scaled;
    scaled.reserve(bins.size());
    for (const float bin : bins) scaled.push_back(static_cast<float>(bin * scale));
    return scaled;
}

}  // namespace gannethold::snapshot
