#pragma once

#include <algorithm>
#include <cstdint>
#include <unordered_map>

namespace gannethold::cluster {

// How long work usually takes, by its shape; in microseconds.
class WorkDurations {
  public:
    void add(std::uint16_t shape, double duration) { by_shape_[shape].add(duration); }
    // A guess for a shape of which nothing has been completed yet.
    double usual(std::uint16_t shape) const {
        const auto at = by_shape_.find(shape);
        return at == by_shape_.end() ? kUnknown : at->second.mean;
    }

  private:
    static constexpr double kUnknown = 100'000;  // microseconds
    static constexpr double kMaxSamples = 32;    // that the mean is taken over

    struct Mean {
        double mean = 0;
        double samples = 0;
        void add(double value) {
            samples = std::min(samples + 1, kMaxSamples);
            mean += (value - mean) / samples;
        }
    };
    std::unordered_map<std::uint16_t, Mean> by_shape_;
};

}  // namespace gannethold::cluster
