#include "scale/statistics.hpp"

#include <algorithm>
#include <cmath>

namespace gannethold::scale {

std::optional<double> quantile(std::vector<double> values, double part) {
    if (values.empty()) return std::nullopt;
    const double last = static_cast<double>(values.size() - 1);
    const auto place = static_cast<std::size_t>(std::ceil(std::clamp(part, 0.0, 1.0) * last));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(place), values.end());
    return values[place];
}

double per_second(double before, double after, double seconds) {
    return seconds > 0 ? (after - before) / seconds : 0;
}

}  // namespace gannethold::scale
