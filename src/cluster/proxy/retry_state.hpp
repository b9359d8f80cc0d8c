// The attempts of one request, and whether another one may follow.
#pragma once

#include <cstdint>

#include "cluster/base/error.hpp"
#include "cluster/configuration/configuration.hpp"
#include "cluster/proxy/attempt_result.hpp"

namespace gannethold::cluster {

class RetryState {
  public:
    /// An attempt is on its way to a runner.
    void on_attempt_sent() { ++attempts_; }

    /// The attempt sent last has ended. One that could not connect is not counted.
    void on_attempt_completed(AttemptResult result);

    /// Whether the request may be sent to another runner after that result: one that may have run needs an
    /// idempotent route, and attempts and time must be left.
    bool may_retry(const Route& route, AttemptResult result, Micros now, Micros deadline) const;

    /// The next attempt is looked for. It counts as a retry if an earlier one was sent.
    void begin_next_attempt() { is_retry_ = attempts_ > 0; }

    /// Whether the attempt that is being made is a retry, which the coordinator grants from the retry budget.
    bool is_retry() const { return is_retry_; }

    /// Whether some attempt may have run the request, so that nothing may be answered that says it has not.
    bool may_have_run() const { return may_have_run_; }

  private:
    // A further attempt needs so much time, the way to the runner included.
    static constexpr Micros kMinTimeForRetry = 20'000;

    std::uint32_t attempts_ = 0;
    bool is_retry_ = false;
    bool may_have_run_ = false;
};

}  // namespace gannethold::cluster
