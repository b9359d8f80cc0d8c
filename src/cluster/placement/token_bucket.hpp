#pragma once

#include <algorithm>

#include "types.hpp"

namespace gannethold::cluster {

// A rate limit: tokens accrue at a fixed rate, up to a burst, and each call spends one. Initially empty.
class TokenBucket {
  public:
    struct Options {
        double tokens_per_s = 1;
        double share = 1;  // fraction of the rate that this bucket may use
        double burst = 1;
    };
    TokenBucket(const Options& options, Micros now) : options_(options), filled_at_(now) {}

    // Returns false if the call would exceed the rate. REQUIRES: now does not decrease between calls.
    bool try_spend(Micros now) {
        const double elapsed_s = static_cast<double>(now - filled_at_) / 1e6;
        tokens_ = std::min(options_.burst, tokens_ + elapsed_s * options_.tokens_per_s * options_.share);
        filled_at_ = now;
        if (tokens_ < 1) return false;
        tokens_ -= 1;
        return true;
    }

  private:
    Options options_;
    double tokens_ = 0;
    Micros filled_at_;
};

}  // namespace gannethold::cluster
