// The invariants that a simulation found broken.
#pragma once

#include <string>
#include <vector>

#include "event_queue.hpp"

namespace gannethold::cluster::simulation {

/// Keeps the first twenty, each with its time.
class Violations {
  public:
    explicit Violations(const EventQueue& events) : events_(events) {}

    void report(const std::string& what) {
        constexpr std::size_t kMaxKept = 20;
        if (found_.size() >= kMaxKept) return;
        const double seconds = static_cast<double>(events_.now()) / static_cast<double>(kMicrosPerSecond);
        found_.push_back(std::to_string(seconds) + " s: " + what);
    }
    bool empty() const { return found_.empty(); }
    const std::vector<std::string>& found() const { return found_; }

  private:
    const EventQueue& events_;
    std::vector<std::string> found_;
};

}  // namespace gannethold::cluster::simulation
