// A planned end of a member: it asks until it is told that a quorum without it holds all that is committed.
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
    // Good for ever: what was committed by then is held without this member.
    void allow_stop() { may_stop_ = true; }
    bool may_stop() const { return may_stop_; }

  private:
    bool begun_ = false;
    bool may_stop_ = false;
    Micros next_request_at_ = 0;
};

}  // namespace gannethold::cluster
