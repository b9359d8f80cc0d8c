// The simulated clock and what is scheduled on it. Nothing in a simulation reads a real clock or sleeps.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "cluster/configuration/configuration.hpp"

namespace gannethold::cluster::simulation {

constexpr Micros kMicrosPerMilli = 1'000;
constexpr Micros kMicrosPerSecond = 1'000'000;

/// Runs actions in the order of their times; those of the same time in the order in which they were
/// scheduled.
class EventQueue {
  public:
    using Action = std::function<void()>;

    Micros now() const { return now_; }
    /// Schedules the action; a time in the past counts as now.
    void at(Micros when, Action action);
    void after(Micros delay, Action action) { at(now_ + delay, std::move(action)); }
    /// Runs everything that is due until then; the clock stands at `until` afterwards, or where it was if
    /// that is later.
    void run_until(Micros until);

  private:
    struct ScheduledEvent {
        Micros at = 0;
        std::uint64_t sequence = 0;
        Action action;
        // A priority queue has its greatest element on top: the earliest event is the greatest.
        bool operator<(const ScheduledEvent& other) const {
            return at != other.at ? at > other.at : sequence > other.sequence;
        }
    };

    Micros now_ = kMicrosPerSecond;
    std::uint64_t last_sequence_ = 0;
    std::priority_queue<ScheduledEvent> scheduled_;
};

}  // namespace gannethold::cluster::simulation
