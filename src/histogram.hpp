// A few coarse bins, half an octave each, around one; halved from time to time by whoever keeps it.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>

namespace gannethold {

class Histogram {
  public:
    void add(double value, double weight = 1) {
        if (!(value > 0) || !std::isfinite(value)) return;
        const double bin = std::floor(2 * std::log2(value)) + kBins / 2;
        bins_[static_cast<std::size_t>(std::clamp(bin, 0.0, kBins - 1.0))] += weight;
    }
    void halve() {
        for (double& b : bins_) b /= 2;
    }
    void clear() { bins_.fill(0); }
    double weight() const { return std::accumulate(bins_.begin(), bins_.end(), 0.0); }
    double mean(double otherwise) const {
        double sum = 0;
        for (std::size_t i = 0; i < kBins; ++i) sum += bins_[i] * std::exp2(log_centre(i));
        return weight() > 0 ? sum / weight() : otherwise;
    }
    // The mean of logarithms, so that one long job in heavy-tailed work does not pass for a slow runner.
    double middle(double prior, double prior_weight) const {
        double sum = prior_weight * std::log2(prior);
        for (std::size_t i = 0; i < kBins; ++i) sum += bins_[i] * log_centre(i);
        return std::exp2(sum / (weight() + prior_weight));
    }

  private:
    static constexpr std::size_t kBins = 20;
    static double log_centre(std::size_t bin) { return (static_cast<double>(bin) + 0.5) / 2 - kBins / 4.0; }
    std::array<double, kBins> bins_{};
};

}  // namespace gannethold
