// The attempts of one request, and the rules for retries.
#pragma once

#include <cstdint>

#include "cluster/base/error.hpp"
#include "cluster/configuration/configuration.hpp"
#include "cluster/proxy/attempt_result.hpp"

namespace gannethold::cluster {

/// Tracks the attempts of one request and decides whether it may be retried.
class RetryState {
  public:
    /// Records that an attempt was sent to a runner.
    void on_attempt_sent() { ++attempts_; }

    /// Records the result of the last attempt. An attempt that failed to connect does not count.
    void on_attempt_completed(AttemptResult result);

    /// Whether the request may be sent to another runner after the result. Attempts and time must be left,
    /// and a request that may have run is retried on an idempotent route only.
    bool may_retry(const Route& route, AttemptResult result, Micros now, Micros deadline) const;

    /// Starts the next attempt. It is a retry if an earlier attempt was sent.
    void begin_next_attempt() { is_retry_ = attempts_ > 0; }

    /// Whether the current attempt is a retry. The coordinator grants retries from the retry budget.
    bool is_retry() const { return is_retry_; }

    /// Whether an attempt may have run the request. The response must then not state that it has not run.
    bool may_have_run() const { return may_have_run_; }

  private:
    // The time that a further attempt needs before the deadline, transfer to the runner included.
    static constexpr Micros kMinTimeForRetry = 20'000;

    std::uint32_t attempts_ = 0;
    bool is_retry_ = false;
    bool may_have_run_ = false;
};

}  // namespace gannethold::cluster
