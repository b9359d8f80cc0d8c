// Determines when a member that receives no heartbeats becomes a candidate: after a randomized timeout, so
// that split votes are rare (Raft, section 5.2).
#pragma once

#include <cstdint>

#include "types.hpp"

namespace gannethold::cluster {

class ElectionTimer {
  public:
    ElectionTimer(Micros election_timeout, std::uint64_t random_seed);

    // Due after one to five thirds of the election timeout.
    void restart(Micros now);
    // Due after 40 to 80 ms: for a candidate that others may vote for without waiting.
    void restart_eagerly(Micros now);
    Micros due_at() const { return due_at_; }
    // Upper bound for the duration of a candidacy: by then the candidate has won, has stepped down, or has
    // started a new candidacy.
    Micros max_candidacy_duration() const { return election_timeout_ + spread_; }
    // The random number drawn for the last restart.
    std::uint64_t last_random() const { return random_; }

  private:
    std::uint64_t draw();

    Micros election_timeout_;
    Micros spread_;
    std::uint64_t random_;  // never 0, which xorshift maps to itself
    Micros due_at_ = 0;
};

}  // namespace gannethold::cluster
