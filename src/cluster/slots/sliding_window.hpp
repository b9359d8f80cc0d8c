#pragma once

#include <cstddef>
#include <deque>

#include "types.hpp"

namespace gannethold::cluster {

// Counts the events of the last `span`.
class SlidingWindow {
  public:
    explicit SlidingWindow(Micros span) : span_(span) {}
    // REQUIRES: now does not decrease from one call to the next.
    void add(Micros now) { events_.push_back(now); }
    std::size_t count(Micros now) {
        while (!events_.empty() && events_.front() < now - span_) events_.pop_front();
        return events_.size();
    }

  private:
    Micros span_;
    std::deque<Micros> events_;
};

}  // namespace gannethold::cluster
