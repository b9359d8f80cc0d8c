#pragma once

#include "cluster/slots/sliding_window.hpp"
#include "types.hpp"

namespace gannethold::cluster {

// How many requests of one function may be retried in a window of time, whichever proxies ask for it.
class RetryBudget {
  public:
    struct Options {
        double max_retries = 0;
        Micros window = 10'000'000;
    };
    explicit RetryBudget(const Options& options) : options_(options), retries_(options.window) {}

    // Whether one more retry is within the budget; it is counted if so. One coordinator uses half the budget:
    // it holds also over a window in which one coordinator follows another.
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
