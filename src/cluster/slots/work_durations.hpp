#pragma once

#include <algorithm>
#include <cstdint>
#include <unordered_map>

namespace gannethold::cluster {

// The mean duration of completed requests, by request class.
class WorkDurations {
  public:
    void add(std::uint16_t request_class, double duration_us) {
        by_request_class_[request_class].add(duration_us);
    }
    // Returns a default for a class of which no request has been completed yet.
    double expected_us(std::uint16_t request_class) const {
        const auto at = by_request_class_.find(request_class);
        return at == by_request_class_.end() ? kDefaultDurationUs : at->second.mean;
    }

  private:
    static constexpr double kDefaultDurationUs = 100'000;
    static constexpr double kMaxSamples = 32;  // the mean covers about this many samples

    struct Mean {
        double mean = 0;
        double samples = 0;
        void add(double value) {
            samples = std::min(samples + 1, kMaxSamples);
            mean += (value - mean) / samples;
        }
    };
    std::unordered_map<std::uint16_t, Mean> by_request_class_;
};

}  // namespace gannethold::cluster
