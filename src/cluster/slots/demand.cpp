// Means of what requests ask for: the time of work of one request class, and the demand for slots.
#include "cluster/slots/slot_table.hpp"

#include <algorithm>
#include <cmath>

namespace gannethold::cluster {

void SmoothedDuration::add(double took) {
    weight_ = std::min(weight_ + 1, 32.0);
    mean_ += (took - mean_) / weight_;
}

void Demand::sample(double work, double span) {
    const double keep = std::exp(-span / seconds_);
    sum_ = sum_ * keep + work;
    seen_ = seen_ * keep + span;
}

double Demand::slots() const { return sum_ / std::max(seen_, kLeast); }

}  // namespace gannethold::cluster
