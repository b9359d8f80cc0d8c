// How long runners work on requests of one class, estimated as RFC 6298 estimates round trips.
#pragma once

#include <cmath>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>

#include "cluster/configuration/configuration.hpp"
#include "types.hpp"

namespace gannethold::cluster {

class WorkTime {
  public:
    /// Adds one observed time from the send to the complete response.
    void add(Micros took) {
        const auto sample = static_cast<double>(took);
        if (!known_) {
            known_ = true;
            mean_ = sample;
            deviation_ = sample / 2;
            return;
        }
        deviation_ += kDeviationGain * (std::abs(sample - mean_) - deviation_);
        mean_ += kMeanGain * (sample - mean_);
    }

    /// The time within which most requests of this class end; nothing before the first observation.
    std::optional<Micros> upper_estimate() const {
        if (!known_) return std::nullopt;
        return static_cast<Micros>(mean_ + kDeviations * deviation_);
    }

  private:
    static constexpr double kMeanGain = 1.0 / 8;
    static constexpr double kDeviationGain = 1.0 / 4;
    // With a log-normal spread, about 95 of 100 end within this many mean deviations above the mean.
    static constexpr double kDeviations = 2;

    bool known_ = false;
    double mean_ = 0;
    double deviation_ = 0;
};

/// Routes that agree in these are taken to ask for work that takes alike long. A route's shape would not do:
/// its number means something else in the next configuration.
struct WorkClass {
    std::uint8_t priority = 0;
    Micros latency_target = 0;
    bool idempotent = false;

    static WorkClass of(const Route& route) {
        return {route.priority, route.latency_target, route.idempotent};
    }
    // clang-tidy 14 takes the defaulted comparison for a null pointer.
    friend auto operator<=>(const WorkClass&,
                            const WorkClass&) = default;  // NOLINT(modernize-use-nullptr)
};

class WorkTimeTable {
  public:
    void add(const Route& route, Micros took) { times_[WorkClass::of(route)].add(took); }

    /// How long a request of that route may well take at a runner. Before the first observation it is the
    /// latency target: the operators mean it to be kept.
    Micros upper_estimate(const Route& route) const {
        const auto known = times_.find(WorkClass::of(route));
        if (known == times_.end()) return route.latency_target;
        return known->second.upper_estimate().value_or(route.latency_target);
    }

  private:
    std::map<WorkClass, WorkTime> times_;
};

}  // namespace gannethold::cluster
