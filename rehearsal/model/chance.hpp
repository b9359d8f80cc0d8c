// Chance for a rehearsal: the same seed gives the same numbers on every machine, which the distributions of
// the standard library do not promise; so they are written out here over one engine.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <numbers>
#include <random>

#include "types.hpp"

namespace gannethold::rehearsal {

class Chance {
  public:
    // Streams of one seed are independent, so that one more draw in one place changes no other place.
    Chance(std::uint64_t seed, std::uint64_t stream)
        : engine_(mixed(seed * 0x9E3779B97F4A7C15ULL + stream)) {}

    double uniform() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }
    bool happens(double probability) { return probability > 0 && uniform() < probability; }
    std::size_t below(std::size_t n) {
        return std::min(n - 1, static_cast<std::size_t>(uniform() * static_cast<double>(n)));
    }
    double exponential(double mean) { return -mean * std::log1p(-uniform()); }
    // Log-normal with that mean; spread is the standard deviation of the logarithm.
    double log_normal(double mean, double spread) {
        const double u = 1 - uniform(), v = uniform();
        const double normal = std::sqrt(-2 * std::log(u)) * std::cos(2 * std::numbers::pi * v);
        return mean * std::exp(spread * normal - spread * spread / 2);
    }
    std::uint64_t word() { return engine_(); }

  private:
    static std::uint64_t mixed(std::uint64_t z) {  // splitmix64's finish
        z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9ULL;
        z = (z ^ (z >> 27)) * 0x94D049BB133111EBULL;
        return z ^ (z >> 31);
    }
    std::mt19937_64 engine_;
};

}  // namespace gannethold::rehearsal
