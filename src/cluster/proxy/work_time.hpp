// How long runners work on requests of one kind, estimated as RFC 6298 estimates round trips.
#pragma once

#include <cmath>
#include <optional>

#include "types.hpp"

namespace gannethold::cluster {

class WorkTime {
  public:
    /// Adds one observed time from the send to the whole answer.
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

    /// The time within which most requests of this kind end; nothing before the first observation.
    std::optional<Micros> usual_longest() const {
        if (!known_) return std::nullopt;
        return static_cast<Micros>(mean_ + kDeviations * deviation_);
    }

  private:
    static constexpr double kMeanGain = 1.0 / 8;
    static constexpr double kDeviationGain = 1.0 / 4;
    // With a log-normal spread, about 95 of 100 end within so many mean deviations above the mean.
    static constexpr double kDeviations = 2;

    bool known_ = false;
    double mean_ = 0;
    double deviation_ = 0;
};

}  // namespace gannethold::cluster
