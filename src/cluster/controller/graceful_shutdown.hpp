// Decides when a controller that is shutting down may exit: once the other core machines have all committed
// entries and the last responses had time to be written, or after half of the grace period.
#pragma once

#include "types.hpp"

namespace gannethold::cluster {

/// No I/O and no clock; the caller passes the time.
class GracefulShutdown {
  public:
    /// How often to poll is_complete() after begin().
    static constexpr Micros kPollInterval = 20'000;

    /// The process is killed `grace_period` after `now`.
    void begin(Micros now, Micros grace_period) {
        has_begun_ = true;
        deadline_ = now + grace_period / 2;
        not_before_ = now + kMinDuration;
    }
    bool has_begun() const { return has_begun_; }
    /// `is_safe_to_stop`: the other core machines have all entries that are committed here.
    bool is_complete(Micros now, bool is_safe_to_stop) const {
        return has_begun_ && now >= not_before_ && (is_safe_to_stop || now >= deadline_);
    }

  private:
    static constexpr Micros kMinDuration = 300'000;  // for responses in flight

    bool has_begun_ = false;
    Micros deadline_ = 0;
    Micros not_before_ = 0;
};

}  // namespace gannethold::cluster
