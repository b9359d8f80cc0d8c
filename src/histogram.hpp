// A histogram of ratios with coarse bins, half an octave each, centred on one. Its owner halves it from time
// to time, so that old samples fade.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>

namespace gannethold {

class Histogram {
  public:
    // Counts one sample; values that are not positive and finite are ignored.
    void add(double value) {
        if (!(value > 0) || !std::isfinite(value)) return;
        const double bin = std::floor(2 * std::log2(value)) + kBins / 2;
        ++bins_[static_cast<std::size_t>(std::clamp(bin, 0.0, kBins - 1.0))];
    }
    void halve() {
        for (float& bin : bins_) bin /= 2;
    }
    void clear() { bins_.fill(0); }
    static constexpr std::size_t kBins = 20;
    // The raw bins, for storage.
    const std::array<float, kBins>& bins() const { return bins_; }
    // Replaces the bins by stored ones; false, and no change, if their number differs from kBins.
    template <class List>
    bool assign_bins(const List& bins) {
        if (bins.size() != kBins) return false;
        std::copy(bins.begin(), bins.end(), bins_.begin());
        return true;
    }
    // The number of samples, as far as they have not faded.
    double weight() const {
        float sum = 0;
        for (const float bin : bins_) sum += bin;
        return sum;
    }
    // The arithmetic mean, or `fallback` without samples.
    double mean(double fallback) const {
        double sum = 0, weight = 0;
        double centre = std::exp2(log_centre(0));
        for (const float bin : bins_) sum += bin * centre, weight += bin, centre *= 1.4142135623730951;
        return weight > 0 ? sum / weight : fallback;
    }
    // The geometric mean, with a prior of the given weight. Averaging logarithms keeps one long job of
    // heavy-tailed work from making its runner look slow.
    double geometric_mean(double prior, double prior_weight) const {
        double sum = prior_weight * std::log2(prior), weight = prior_weight;
        for (std::size_t i = 0; i < kBins; ++i) sum += bins_[i] * log_centre(i), weight += bins_[i];
        return std::exp2(sum / weight);
    }

  private:
    static constexpr double log_centre(std::size_t bin) {
        return (static_cast<double>(bin) + 0.5) / 2 - kBins / 4.0;
    }
    std::array<float, kBins> bins_{};
};

}  // namespace gannethold
