// What operators and proxies do at any time of a play: proposals, two bodies of one version, proposals sent
// again however much later, reads and registrations.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "scenario_trace.hpp"

namespace gannethold::cluster::simulation {

/// Draws a number below `bound` by chance.
using PickBelow = std::function<std::uint64_t(std::uint64_t bound)>;

class OperatorMoves {
  public:
    /// The cluster and the trace must outlive this object.
    OperatorMoves(SimulatedCluster& cluster, ScenarioTrace& trace, PickBelow pick_below)
        : cluster_(cluster), trace_(trace), pick_below_(std::move(pick_below)) {}

    /// Puts the next version with a body of its own at that core.
    void put(std::size_t core);
    /// One to three operators put at once: mostly one version with different bodies.
    void put_concurrently();
    /// One of all moves by chance, at that core.
    void move_at(std::size_t core);
    /// Likewise, at any core.
    void move() { move_at(pick_core()); }

  private:
    struct SentProposal {
        Number version = 0;
        std::string mark;
    };

    void send(const SentProposal& proposal, std::size_t core);
    void propose(Number version, std::size_t core);
    std::string make_mark();
    /// Sends an earlier proposal again: its answer may have been lost.
    void resend(std::size_t core);
    /// Puts another body of an earlier version.
    void put_rival(std::size_t core);
    /// Puts a version that is at most the newest; it may have been skipped.
    void put_outdated(std::size_t core);
    std::size_t pick_core() { return pick_below_(cluster_.cores().size()); }

    SimulatedCluster& cluster_;
    ScenarioTrace& trace_;
    PickBelow pick_below_;
    Number newest_version_ = 0;  // that was put
    std::uint64_t mark_count_ = 0;
    std::vector<SentProposal> sent_;
};

}  // namespace gannethold::cluster::simulation
