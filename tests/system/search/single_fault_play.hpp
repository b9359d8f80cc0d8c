// Plays of one fault at a time, of a core or of a proxy, with clients' requests meanwhile.
#pragma once

#include "seeded_play.hpp"

namespace gannethold::cluster::simulation {

class SingleFaultPlay final : public SeededPlay {
  public:
    SingleFaultPlay(std::uint64_t seed, PlantedFault fault);

  private:
    void play() override;
    /// Operators go on meanwhile, mostly at that core.
    void run_with_operators(std::size_t core, Micros until);
    /// A fault of that length, and the repair after it.
    void inject_fault(std::size_t core);
    void inject_proxy_fault(Micros duration);
    void inject_core_fault(std::size_t core, Micros duration);
    /// Cuts the core's connections with every other one.
    void cut(std::size_t core);
    void cut_outbound(std::size_t core);
    void cut_inbound(std::size_t core);
    /// One core lags behind a change; then of those that have it one crashes as it writes, or loses its disk,
    /// and the leader is away when the other two are back. Nothing may be lost, though little may make
    /// progress.
    void lose_while_one_lags(std::size_t lagging);
    void kill_by_chance(std::size_t lagging, std::size_t loser);
    void send_requests();
    void recover();

    Micros start_;
    Micros time_;                // of the play; may be ahead of the cluster's
    Micros repaired_until_ = 0;  // before that no other fault is injected
};

}  // namespace gannethold::cluster::simulation
