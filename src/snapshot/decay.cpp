#include "snapshot/decay.hpp"

#include <algorithm>
#include <cmath>

namespace gannethold::keepsake {
namespace {

// Another process on the same machine: most of what it does is the machine's. Elsewhere, or behind another
// address, it may be another machine of that kind.
constexpr double kRestarted = 0.5, kElsewhere = 0.25;
constexpr double kNothing = 0.02;  // less is not worth a row

}  // namespace

double weight_left(std::int64_t written_ms, std::int64_t now_ms, const Prudence& prudence) {
    const std::int64_t age = now_ms - written_ms;
    // Against clocks that went backwards: a little is met every day, more means that no age can be told.
    if (age < -prudence.skew_ms || written_ms <= 0) return 0;
    const double halvings = static_cast<double>(std::max<std::int64_t>(0, age)) /
                            static_cast<double>(std::max<std::int64_t>(1, prudence.half_life_ms));
    const double left = std::exp2(-halvings);
    return left < kNothing ? 0 : left;
}

double weight_left(const KeptRunner& kept, const Present& present, double by_age) {
    if (kept.kind != present.kind) return 0;
    double left = by_age;
    if (kept.started_ms != present.started_ms) left *= kRestarted;
    if (kept.zone != present.zone || kept.address != present.address) left *= kElsewhere;
    return left < kNothing ? 0 : left;
}

Bins aged(const Bins& bins, double weight, double most) {
    double sum = 0;
    for (const float b : bins) sum += b;
    if (sum <= 0 || weight <= 0) return {};
    const double scale = std::min(sum, most) / sum * weight;
    Bins out;
    for (const float b : bins) out.push_back(static_cast<float>(b * scale));
    return out;
}

}  // namespace gannethold::keepsake
