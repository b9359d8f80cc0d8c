#include "cluster/placement/start_cost.hpp"

#include <algorithm>
#include <cmath>

namespace gannethold::cluster {
namespace {

// Time for messages between client, proxy, coordinator and runner, in addition to the start and the work: a
// few crossings between regions.
constexpr Micros kMessageDelay = 60'000;
constexpr Micros kDefaultWork = 100'000;  // of a request; equal to the default of WorkDurations

constexpr double kMinDeviation = 0.05;  // of boot durations, relative to their mean
constexpr double kMinBootSeconds = 1e-3;
constexpr double kMinRunnerSecond = 1e-9;

double seconds(Micros span) { return static_cast<double>(span) / 1e6; }

double normal_density(double x) {
    constexpr double kInverseSqrtTwoPi = 0.3989422804014327;
    return kInverseSqrtTwoPi * std::exp(-x * x / 2);
}

double normal_tail(double x) { return std::erfc(x / std::sqrt(2.0)) / 2; }

}  // namespace

StartCost::StartCost(const ExchangeRates& rates, const BootTimes& boot_times, const Service& service)
    : boot_s_(std::max(kMinBootSeconds, seconds(service.boot_duration) * boot_times.mean())),
      runner_second_(std::max(kMinRunnerSecond,
                              rates.instance_gb_second * static_cast<double>(service.memory_mb) / 1024)),
      start_(rates.instance_start + runner_second_ * boot_s_),
      late_request_(rates.late_request) {
    if (service.min_latency_target <= 0) return;
    // Boot durations are approximately normally distributed. A start may take what remains of the latency
    // target after work and messages.
    const double deviation = boot_s_ * std::max(kMinDeviation, boot_times.deviation() / boot_times.mean());
    const double allowed = seconds(service.min_latency_target - kDefaultWork - kMessageDelay);
    const double margin = (allowed - boot_s_) / deviation;
    late_fraction_ = normal_tail(margin);
    late_seconds_ = deviation * (normal_density(margin) - margin * normal_tail(margin));
}

}  // namespace gannethold::cluster
