// Plays of unbounded faults, except that no disk is lost: any number of cores killed, cut off from any others
// or stalled, while machines join, leave and return. The cluster need not make progress meanwhile, but must
// never answer wrongly; at the end, with all machines back, there is a leader that has all that was
// acknowledged.
#pragma once

#include "seeded_play.hpp"

namespace gannethold::cluster::simulation {

class ChaosPlay final : public SeededPlay {
  public:
    ChaosPlay(std::uint64_t seed, PlantedFault fault);

  private:
    void play() override;
    void inject_fault();
    void cut_some();
    /// Partitions the cores into two sides.
    void partition();
    void add_core();
    void recover();
};

}  // namespace gannethold::cluster::simulation
