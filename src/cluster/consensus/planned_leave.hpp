// The planned stop of a member. The member repeats its leave request until the leader confirms that a quorum
// without it has stored all committed entries.
#pragma once

#include "types.hpp"

namespace gannethold::cluster {

class PlannedLeave {
  public:
    static constexpr Micros kRequestInterval = 50'000;

    void begin(Micros now) {
        has_begun_ = true;
        next_request_at_ = now;
    }
    bool has_begun() const { return has_begun_; }
    bool is_request_due(Micros now) const { return has_begun_ && !can_stop_ && now >= next_request_at_; }
    void on_request(Micros now) { next_request_at_ = now + kRequestInterval; }
    Micros next_request_at() const { return next_request_at_; }
    // Not revoked by later commits, which do not depend on this member.
    void allow_stop() { can_stop_ = true; }
    bool can_stop() const { return can_stop_; }

  private:
    bool has_begun_ = false;
    bool can_stop_ = false;
    Micros next_request_at_ = 0;
};

}  // namespace gannethold::cluster
