// When a member that receives no heartbeats becomes a candidate (Raft, section 5.2): after a random time, so
// that split votes are rare.
#pragma once

#include <cstdint>

#include "types.hpp"

namespace gannethold::cluster {

class ElectionTimer {
  public:
    ElectionTimer(Micros election_timeout, std::uint64_t random_seed);

    // Due one to five thirds of the election timeout from now.
    void restart(Micros now);
    // Due after 40 to 80 ms: for who may count on votes at once.
    void restart_eagerly(Micros now);
    Micros due_at() const { return due_at_; }
    // Upper bound of a candidacy: by then the candidate has won, has stepped down, or has started another
    // one.
    Micros max_candidacy() const { return election_timeout_ + spread_; }
    // The number that was drawn for the last restart.
    std::uint64_t last_random() const { return random_; }

  private:
    std::uint64_t draw();

    Micros election_timeout_;
    Micros spread_;
    std::uint64_t random_;  // never 0: xorshift would stay there
    Micros due_at_ = 0;
};

}  // namespace gannethold::cluster
