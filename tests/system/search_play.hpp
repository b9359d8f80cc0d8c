// One seed's play: a world of its own, troubles drawn by chance, and the story that replays it.
#pragma once

#include <random>
#include <string>
#include <vector>

#include "search_moves.hpp"

namespace gannethold::cluster::played {

class Play {
  public:
    Play(std::uint64_t seed, Sabotage sabotage);
    void record_digest() { world_.record_digest(); }
    Played run();

  private:
    World::Shape shape_of(std::uint64_t seed, Sabotage sabotage);
    std::uint64_t pick(std::uint64_t n) { return random_() % n; }
    void say(const std::string& text) { story_.say(text); }
    void pass(std::size_t core, Micros until);  // with operators at work, most at that core
    void trouble(std::size_t core);
    void trouble_of_front(Micros span);
    void trouble_of_core(std::size_t core, Micros span);
    void lose_while_one_lags(std::size_t lagging);
    void requests();
    void end();

    std::mt19937_64 random_;
    World::Shape shape_;
    World world_;
    Story story_;
    OperatorMoves operators_;
    Micros start_, at_;
    Micros down_until_ = 0;  // else one at a time
};

}  // namespace gannethold::cluster::played
