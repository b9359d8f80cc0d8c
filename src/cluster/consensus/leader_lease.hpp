// A leader's lease: the time in which no other member can have been elected (Raft, section 8, and Ongaro's
// thesis, section 6.4.1). It is counted from when a heartbeat round was sent, not from when its responses
// came: a voter that answered it withholds its vote for an election timeout, which starts later than that.
#pragma once

#include <map>
#include <vector>

#include "cluster/wire/messages.hpp"
#include "types.hpp"

namespace gannethold::cluster {

class LeaderLease {
  public:
    // duration: less than the election timeout by more than clocks drift apart in that time.
    explicit LeaderLease(Micros duration) : duration_(duration) {}

    // A new term: no round of an earlier one counts. Rounds are counted on, so that late responses to those
    // name none of this term.
    void reset() { sent_at_.clear(); }
    Round begin_round(Micros now);
    Round newest_round() const { return newest_round_; }
    // When the newest round was sent that a majority has answered. answered: each voter's newest round, the
    // leader's own included. 0: none, or it was sent too long ago.
    Micros granted_at(std::vector<Round> answered) const;
    bool is_valid(Micros granted_at, Micros now) const {
        return granted_at > 0 && now < granted_at + duration_;
    }

  private:
    Micros duration_;
    Round newest_round_ = 0;
    std::map<Round, Micros> sent_at_;  // of the newest rounds of this term
};

}  // namespace gannethold::cluster
