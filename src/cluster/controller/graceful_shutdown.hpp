// When a controller that is shutting down may end: once the other core machines hold all that is committed
// and its last answers had time to be written, or half of the grace period is over.
#pragma once

#include "types.hpp"

namespace gannethold::cluster {

/// No I/O and no clock: the caller passes the time.
class GracefulShutdown {
  public:
    /// How often to ask is_complete() once begun.
    static constexpr Micros kPollInterval = 20'000;

    /// The process is killed `grace_period` after `now`.
    void begin(Micros now, Micros grace_period) {
        has_begun_ = true;
        deadline_ = now + grace_period / 2;
        not_before_ = now + kMinDuration;
    }
    bool has_begun() const { return has_begun_; }
    /// `safe_to_end`: the others hold all that is committed here.
    bool is_complete(Micros now, bool safe_to_end) const {
        return has_begun_ && now >= not_before_ && (safe_to_end || now >= deadline_);
    }

  private:
    static constexpr Micros kMinDuration = 300'000;  // in which answers under way reach their callers

    bool has_begun_ = false;
    Micros deadline_ = 0;
    Micros not_before_ = 0;
};

}  // namespace gannethold::cluster
