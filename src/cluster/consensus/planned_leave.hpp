// A planned stop of a member: it repeats its request to leave until the leader confirms that a quorum without
// it has stored all committed entries.
#pragma once

#include "types.hpp"

namespace gannethold::cluster {

class PlannedLeave {
  public:
    static constexpr Micros kRequestInterval = 50'000;

    void begin(Micros now) {
        begun_ = true;
        next_request_at_ = now;
    }
    bool is_begun() const { return begun_; }
    bool is_request_due(Micros now) const { return begun_ && !may_stop_ && now >= next_request_at_; }
    void on_request(Micros now) { next_request_at_ = now + kRequestInterval; }
    Micros next_request_at() const { return next_request_at_; }
    // Final: entries that are committed later do not depend on this member.
    void allow_stop() { may_stop_ = true; }
    bool may_stop() const { return may_stop_; }

  private:
    bool begun_ = false;
    bool may_stop_ = false;
    Micros next_request_at_ = 0;
};

}  // namespace gannethold::cluster
