// The leader lease: the period in which no other member can have been elected (Raft, section 8, and Ongaro's
// thesis, section 6.4.1). It starts when a heartbeat round is sent, not when the responses arrive: a voter
// withholds its vote for one election timeout from the receipt of the heartbeat, which is later.
#pragma once

#include <map>
#include <vector>

#include "cluster/wire/messages.hpp"
#include "types.hpp"

namespace gannethold::cluster {

class LeaderLease {
  public:
    // `duration` must be shorter than the election timeout by more than the clock drift in that time.
    explicit LeaderLease(Micros duration) : duration_(duration) {}

    // Starts a new term, in which rounds of earlier terms do not count. Round numbers continue, so that a
    // late response to an earlier term's round cannot match a round of this term.
    void reset() { sent_at_.clear(); }
    Round begin_round(Micros now);
    Round newest_round() const { return newest_round_; }
    // When the newest round that a majority has answered was sent; 0 if there is none, or if it is too old.
    // `answered` has the newest answered round of each voter, including the leader.
    Micros granted_at(std::vector<Round> answered) const;
    bool is_valid(Micros granted_at, Micros now) const {
        return granted_at > 0 && now < granted_at + duration_;
    }

  private:
    Micros duration_;
    Round newest_round_ = 0;
    std::map<Round, Micros> sent_at_;  // the newest rounds of this term
};

}  // namespace gannethold::cluster
