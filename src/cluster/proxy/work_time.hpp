// Estimates of how long runners take for requests, by the method that RFC 6298 uses for round-trip times.
#pragma once

#include <cmath>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>

#include "cluster/configuration/configuration.hpp"
#include "types.hpp"

namespace gannethold::cluster {

/// The estimate for requests of one class.
class WorkTime {
  public:
    /// Adds a sample: the time from sending a request to its complete response.
    void add(Micros duration) {
        const auto sample = static_cast<double>(duration);
        if (!known_) {
            known_ = true;
            mean_ = sample;
            deviation_ = sample / 2;
            return;
        }
        deviation_ += kDeviationGain * (std::abs(sample - mean_) - deviation_);
        mean_ += kMeanGain * (sample - mean_);
    }

    /// Returns the time within which most requests of the class complete; nullopt before the first sample.
    std::optional<Micros> upper_estimate() const {
        if (!known_) return std::nullopt;
        return static_cast<Micros>(mean_ + kDeviations * deviation_);
    }

  private:
    static constexpr double kMeanGain = 1.0 / 8;
    static constexpr double kDeviationGain = 1.0 / 4;
    // For a log-normal distribution, about 95 % of requests complete within this many mean deviations above
    // the mean.
    static constexpr double kDeviations = 2;

    bool known_ = false;
    double mean_ = 0;
    double deviation_ = 0;
};

/// Requests of routes with equal values are assumed to take a similar time. Route::request_class can not be
/// the key, because its meaning changes with each configuration.
struct WorkClass {
    std::uint8_t priority = 0;
    Micros latency_target = 0;
    bool idempotent = false;

    static WorkClass of(const Route& route) {
        return {route.priority, route.latency_target, route.is_idempotent};
    }
    // clang-tidy 14 reports the defaulted comparison as a null pointer constant.
    friend auto operator<=>(const WorkClass&,
                            const WorkClass&) = default;  // NOLINT(modernize-use-nullptr)
};

/// The estimates of all classes.
class WorkTimeTable {
  public:
    void add(const Route& route, Micros duration) { times_[WorkClass::of(route)].add(duration); }

    /// Returns the time within which most requests of the route complete at a runner. Before the first sample
    /// it is the route's latency target, which operators expect to be met.
    Micros upper_estimate(const Route& route) const {
        const auto known = times_.find(WorkClass::of(route));
        if (known == times_.end()) return route.latency_target;
        return known->second.upper_estimate().value_or(route.latency_target);
    }

  private:
    std::map<WorkClass, WorkTime> times_;
};

}  // namespace gannethold::cluster
