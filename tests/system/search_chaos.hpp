// Plays of troubles without bound, but that no disk is lost: any number of cores killed, cut off from any
// others, frozen, while machines come, leave and come back. Nothing need go on meanwhile; nothing wrong may
// be said, and at the end, with all back, there is a leader who has everything that was acknowledged.
#pragma once

#include <random>

#include "search_moves.hpp"

namespace gannethold::cluster::played {

class ChaosPlay {
  public:
    ChaosPlay(std::uint64_t seed, Sabotage sabotage);
    void record_digest() { world_.record_digest(); }
    Played run();

  private:
    World::Shape shape_of(std::uint64_t seed, Sabotage sabotage);
    std::uint64_t pick(std::uint64_t n) { return random_() % n; }
    void trouble();
    void cut_some();
    void split();
    void come();
    void end();

    std::mt19937_64 random_;
    World::Shape shape_;
    World world_;
    Story story_;
    OperatorMoves operators_;
};

}  // namespace gannethold::cluster::played
