// A small pseudo-random number generator (xorshift64).
#pragma once

#include <cstdint>

namespace gannethold::cluster {

/// The same seed gives the same sequence.
class UniformRandom {
  public:
    explicit UniformRandom(std::uint64_t seed) : state_(seed * 2 + 1) {}

    /// Returns the next number, uniform in [0, 1).
    double next() {
        state_ ^= state_ << 13;
        state_ ^= state_ >> 7;
        state_ ^= state_ << 17;
        return static_cast<double>(state_ >> 11) * 0x1.0p-53;
    }

  private:
    std::uint64_t state_;  // never 0
};

}  // namespace gannethold::cluster
