// The gradient step of the split: in each period a part of every row's fraction moves to the row of least
// marginal delay (Hofmann and Krajewski, "Quasi-Static Load Balancing in Local Area Networks"). The decision
// module and the system's proxies share it.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <vector>

namespace gannethold {

// A row has fraction, marginal (HUGE_VAL: it takes no part) and eta, the scale of its step. x: the own rate
// of work, not too small. draw() returns a number in [0, 1) to break ties. The caller normalizes the
// fractions. Returns false if no row takes part.
template <class Row, class Draw>
bool step_toward_min_marginal(std::vector<Row>& rows, double x, Draw&& draw) {
    double min_marginal = HUGE_VAL, moved = 0;
    for (const Row& row : rows) min_marginal = std::min(min_marginal, row.marginal);
    if (min_marginal == HUGE_VAL) return false;
    auto best = static_cast<std::size_t>(draw() * static_cast<double>(rows.size()));
    while (rows[best].marginal != min_marginal) best = (best + 1) % rows.size();
    for (Row& row : rows) {
        const double move = std::min(row.fraction / 2, row.eta * (row.marginal - min_marginal) / x);
        row.fraction -= move;
        moved += move;
    }
    rows[best].fraction += moved;
    return true;
}

}  // namespace gannethold
