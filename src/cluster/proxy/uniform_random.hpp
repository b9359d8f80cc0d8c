// A small source of random numbers (xorshift64), repeatable by its seed.
#pragma once

#include <cstdint>

namespace gannethold::cluster {

class UniformRandom {
  public:
    explicit UniformRandom(std::uint64_t seed) : state_(seed * 2 + 1) {}

    /// Uniform in [0, 1).
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
