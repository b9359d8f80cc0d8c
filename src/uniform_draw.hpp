/// A uniform draw that is the same on every kind of machine.
#pragma once

#include <random>

namespace gannethold {

/// A number in [0, 1) with 24 random bits, from one draw of `engine`. std::generate_canonical takes one draw
/// or two for it, by the precision of the machine's `long double`, so that a seed would give other decisions
/// on another machine.
inline double draw_uniform(std::ranlux24_base& engine) {
    static_assert(std::ranlux24_base::min() == 0 && std::ranlux24_base::max() == (1U << 24) - 1);
    constexpr double kDrawCount = 1U << 24;
    return static_cast<double>(engine()) / kDrawCount;
}

}  // namespace gannethold
