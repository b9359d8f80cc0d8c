// What a dispatcher has learned and may hand on to the one after it: plain beliefs, nothing that would make
// it think a runner ready, warm or well.
#pragma once

#include <cstddef>
#include <vector>

#include "histogram.hpp"
#include "types.hpp"

namespace gannethold {

struct RunnerLore {
    RunnerId runner{};
    Histogram latency;  // over the cost
    double least = 0, slots = 0, fraction = 0;
    // Told only between two that live at once: to what is kept for later they mean nothing.
    Micros aside_for = 0, cold_for = -1;  // 0: it is not set aside; -1: it is warm
};
struct KindLore {
    KindId kind{};
    Histogram latency;
    double weight = 0;
};
struct Lore {
    std::vector<RunnerLore> runners;
    std::size_t places = 0;  // that runners have, ready or not
    std::vector<KindLore> kinds;
    std::vector<Histogram> workloads;  // in their order; over the due time
    double usual_cost = 0;             // microseconds
};

}  // namespace gannethold
