// Estimates of a function's request rate over a longer time than its load covers, for decisions on runners
// that are started or kept for expected requests.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>

#include "types.hpp"

namespace gannethold::cluster {

// Number of requests, with exponential decay.
class ArrivalCount {
  public:
    static constexpr double kDecaySeconds = 30;

    void add(Micros now, double requests) {
        count_ = recent(now) + requests;
        counted_at_ = now;
    }
    // The decayed count: approximately the requests of the last kDecaySeconds.
    double recent(Micros now) const {
        return count_ * std::exp(-static_cast<double>(now - counted_at_) / 1e6 / kDecaySeconds);
    }

  private:
    double count_ = 0;
    Micros counted_at_ = 0;
};

// The time over which requests have been counted, with the decay of ArrivalCount, so that it is at most
// kDecaySeconds. It begins with the first request for any function: the time before that gives no
// evidence of which functions will be used.
class ObservedTime {
  public:
    void on_request(Micros now) {
        if (since_ == 0) since_ = now;
    }
    double seconds(Micros now) const {
        if (since_ == 0) return 0;
        return ArrivalCount::kDecaySeconds *
               (1 - std::exp(-static_cast<double>(now - since_) / 1e6 / ArrivalCount::kDecaySeconds));
    }

  private:
    Micros since_ = 0;  // time of the first request; 0: no request yet
};

// Functions that have the same memory, boot duration, slots and latency target. A function with few observed
// requests is expected to be used as much as the other functions of its group.
struct FunctionGroup {
    std::size_t members = 0;
    ArrivalCount arrivals;
};

// The expected request rate of a function: the mean of a gamma distribution. Its prior is the mean rate in
// the function's group, weighted as if it had been observed for kPriorSeconds. The rate of the group is
// estimated from its own prior in the same way.
class ExpectedRate {
  public:
    // prior: requests per second that are expected of the whole group before any request has been observed.
    ExpectedRate(double observed_s, double prior) : observed_s_(observed_s), prior_(prior) {}

    double requests_per_s(Micros now, const ArrivalCount& function, const FunctionGroup& group) const {
        const double in_group = (group.arrivals.recent(now) + prior_ * kPriorSeconds) /
                                (observed_s_ + kPriorSeconds) /
                                static_cast<double>(std::max<std::size_t>(1, group.members));
        return (function.recent(now) + in_group * kPriorSeconds) / (observed_s_ + kPriorSeconds);
    }

  private:
    static constexpr double kPriorSeconds = 3;

    double observed_s_;
    double prior_;
};

}  // namespace gannethold::cluster
