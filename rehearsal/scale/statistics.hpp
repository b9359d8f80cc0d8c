// The sums of a report.
#pragma once

#include <optional>
#include <vector>

namespace gannethold::scale {

/// The value below which that part (0 to 1) of all values lies; nothing where there are none.
std::optional<double> quantile(std::vector<double> values, double part);

/// Change a second between two readings of a counter; 0 where no time has passed.
double per_second(double before, double after, double seconds);

}  // namespace gannethold::scale
