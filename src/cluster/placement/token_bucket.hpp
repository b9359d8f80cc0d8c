#pragma once

#include <algorithm>

#include "types.hpp"

namespace gannethold::cluster {

// A rate limit: tokens come at a rate, up to a burst, and each call spends one. Empty at first.
class TokenBucket {
  public:
    struct Options {
        double tokens_per_s = 1;
        double share = 1;  // of the rate, for this one of those that share it
        double burst = 1;
    };
    TokenBucket(const Options& options, Micros now) : options_(options), filled_at_(now) {}

    // False: the call is not within the rate now. REQUIRES: now does not go back.
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
