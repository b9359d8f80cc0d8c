#pragma once

#include "cluster/slots/sliding_window.hpp"
#include "types.hpp"

namespace gannethold::cluster {

// Limits the retries of one function's requests, by all proxies together, in a sliding window.
class RetryBudget {
  public:
    struct Options {
        double max_retries = 0;
        Micros window = 10'000'000;
    };
    explicit RetryBudget(const Options& options) : options_(options), retries_(options.window) {}

    // Returns whether one more retry is within the budget, and counts it if so. A coordinator uses only half
    // of the budget, so that the budget also holds in a window in which one coordinator replaces another.
    bool try_spend(Micros now) {
        if (static_cast<double>(retries_.count(now)) + 1 > options_.max_retries / 2) return false;
        retries_.add(now);
        return true;
    }

  private:
    Options options_;
    SlidingWindow retries_;
};

}  // namespace gannethold::cluster
