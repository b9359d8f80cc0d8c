// Plays of losses that the cluster must tolerate: as many machines at once as it bears (one of 3, two of 5
// and 9), and the next loss exactly at catch-up after the last of them is back or has its successor. After
// each there must be a leader soon, who acknowledges; what was acknowledged is never lost.
#pragma once

#include <vector>

#include "seeded_play.hpp"

namespace gannethold::cluster::simulation {

class LossPlay final : public SeededPlay {
  public:
    LossPlay(std::uint64_t seed, PlantedFault fault);

  private:
    void play() override;
    void found_cluster();
    /// Losses, checks and repairs.
    void play_round();
    std::vector<std::size_t> living_cores();
    /// So many of the living cores, the leader often among them.
    std::vector<std::size_t> pick_cores(std::size_t count);

    // ---- one loss
    void lose(std::size_t core);
    void restart(std::size_t core, bool wiped);
    void replace(std::size_t core);
    /// The successor first; the old machine shuts down up to 2 s later.
    void replace_planned(std::size_t core);
    void watch_shutdown(std::size_t core, int overdue_before);
    void cut_off(std::size_t core);
    void stall_for_a_while(std::size_t core);
    /// A lost machine will be back then, or its successor started.
    void expect_back_at(Micros when);

    /// Operators and proxies work on, also at the lost cores.
    void run_with_operators(Micros until);
    void expect_leader(Micros lost_at);
    void expect_acknowledgement();
    void expect_members();

    std::vector<std::size_t> lost_;  // in this round
    Micros all_back_at_ = 0;
};

}  // namespace gannethold::cluster::simulation
