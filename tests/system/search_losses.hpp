// Plays of losses as they may come: as many machines at once as the core bears (one of 3, two of 5 and 9),
// and the next loss exactly at catch-up after the last of them is back or has its successor. After each there
// must be a leader soon, who confirms; what was acknowledged is never lost.
#pragma once

#include <random>
#include <vector>

#include "search_moves.hpp"

namespace gannethold::cluster::played {

class LossPlay {
  public:
    LossPlay(std::uint64_t seed, Sabotage sabotage);
    void record_digest() { world_.record_digest(); }
    Played run();

  private:
    World::Shape shape_of(std::uint64_t seed, Sabotage sabotage);
    std::uint64_t pick(std::uint64_t n) { return random_() % n; }
    Micros between(Micros least, Micros most);
    std::vector<std::size_t> living() const;
    std::vector<std::size_t> drawn(std::size_t count);  // of the living, the leader often among them
    void found();
    void lose();  // one round: losses, checks, repair
    void lose_one(std::size_t core);
    void restart(std::size_t core, bool wiped);
    void replace(std::size_t core);
    void replace_planned(std::size_t core);
    void cut(std::size_t core);
    void freeze(std::size_t core);
    void back_at(Micros when);
    void pass(Micros until);  // with operators at work
    void expect_leader(Micros lost_at);
    void expect_confirmation();
    void expect_members();

    std::mt19937_64 random_;
    World::Shape shape_;
    World world_;
    Story story_;
    OperatorMoves operators_;
    std::vector<std::size_t> lost_;  // of this round
    Micros whole_at_ = 0;            // when the last one is back, or its successor started
};

}  // namespace gannethold::cluster::played
