#pragma once

#include <algorithm>
#include <cmath>

namespace gannethold::cluster {

// Measured boot durations of runners, as ratios to the configured durations. The ratios of all functions are
// combined, because the deviation from the configured durations is caused by the platform.
class BootTimes {
  public:
    // actual and configured have the same unit. REQUIRES: configured > 0.
    void add(double actual, double configured) {
        const double ratio = std::min(kMaxRatio, actual / configured);
        const double difference = ratio - mean_;
        mean_ += kGain * difference;
        variance_ += kGain * (difference * difference - variance_);
    }
    double mean() const { return mean_; }
    double deviation() const { return std::sqrt(variance_); }

  private:
    static constexpr double kGain = 0.02;    // weight of one start: averages over about fifty starts
    static constexpr double kMaxRatio = 10;  // a start that hangs is a poor predictor of the next one

    double mean_ = 1;
    double variance_ = 0.09;  // initial deviation before the first start: about a third
};

}  // namespace gannethold::cluster
