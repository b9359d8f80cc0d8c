// Latencies in microseconds, in the layout of HdrHistogram: each power of two is divided into 128 parts, so
// that every value is kept to within 0.8%, from one microsecond to over an hour, in a fixed space. Debian has
// that library for Java and Go only, which is why the layout is written out here.
#pragma once

#include <algorithm>
#include <bit>
#include <cstdint>
#include <vector>

#include "types.hpp"

namespace gannethold::rehearsal {

class Latencies {
  public:
    void add(Micros value, std::uint64_t times = 1) {
        counts_[place(static_cast<std::uint64_t>(std::clamp<Micros>(value, 0, kMost)))] += times;
        total_ += times;
        most_ = std::max(most_, value);
    }
    void add(const Latencies& other) {
        for (std::size_t i = 0; i < counts_.size(); ++i) counts_[i] += other.counts_[i];
        total_ += other.total_;
        most_ = std::max(most_, other.most_);
    }
    // Each kept value with how often it came.
    template <class Do>
    void each(Do what) const {
        for (std::size_t i = 0; i < counts_.size(); ++i)
            if (counts_[i] > 0) what(std::min(most_, highest(i)), counts_[i]);
    }
    std::uint64_t total() const { return total_; }
    Micros most() const { return most_; }
    // The least value that at least that share of all does not exceed; 0 where there is none.
    Micros at(double share) const {
        if (total_ == 0) return 0;
        const auto wanted =
            std::max<std::uint64_t>(1, static_cast<std::uint64_t>(share * static_cast<double>(total_) + 0.5));
        std::uint64_t seen = 0;
        for (std::size_t i = 0; i < counts_.size(); ++i)
            if ((seen += counts_[i]) >= wanted) return std::min(most_, highest(i));
        return most_;
    }

  private:
    static constexpr unsigned kBits = 7;
    static constexpr Micros kMost = Micros{1} << 42;
    static constexpr std::size_t kHalf = std::size_t{1} << kBits;

    static std::size_t place(std::uint64_t v) {
        if (v < 2 * kHalf) return static_cast<std::size_t>(v);
        const unsigned shift = static_cast<unsigned>(std::bit_width(v)) - kBits - 1;
        return kHalf * (shift + 1) + static_cast<std::size_t>(v >> shift) - kHalf;
    }
    static Micros highest(std::size_t place) {
        if (place < 2 * kHalf) return static_cast<Micros>(place);
        const std::size_t shift = place / kHalf - 1;
        return static_cast<Micros>(((place % kHalf + kHalf + 1) << shift) - 1);
    }

    std::vector<std::uint64_t> counts_ = std::vector<std::uint64_t>(kHalf * 38);
    std::uint64_t total_ = 0;
    Micros most_ = 0;
};

}  // namespace gannethold::rehearsal
