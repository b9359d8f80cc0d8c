// What the plays of the search share: a cluster, chance of one seed, operators at work and the trace of it
// all.
#pragma once

#include <random>
#include <string>

#include "operator_moves.hpp"

namespace gannethold::cluster::simulation {

/// A generator, and the shape that was drawn from it first.
struct PlaySetup {
    std::mt19937_64 random;
    ClusterShape shape;
};

class SeededPlay {
  public:
    explicit SeededPlay(const PlaySetup& setup);
    SeededPlay(const SeededPlay&) = delete;
    SeededPlay& operator=(const SeededPlay&) = delete;
    virtual ~SeededPlay() = default;

    /// Plays to the end, or to a violation.
    PlayResult run();
    void record_digest() { cluster_.record_digest(); }

  protected:
    virtual void play() = 0;

    /// A number below `bound` by chance.
    std::uint64_t pick(std::uint64_t bound) { return random_() % bound; }
    /// From `min` on and below `max`.
    Micros pick_between(Micros min, Micros max);
    void kill(std::size_t core);
    void wipe(std::size_t core);
    void start(std::size_t core);
    void start_all();
    void crash_at_next_write(std::size_t core);
    void stall(std::size_t core, Micros duration);
    void reset_connection(std::size_t one, std::size_t other);
    void heal();
    /// Reports a violation unless there is a leader that has committed what was acknowledged.
    void expect_recovered();
    void expect_nothing_lost();
    void report(const std::string& violation) { cluster_.violations().report(violation); }
    bool has_violation() { return !cluster_.violations().empty(); }
    Micros now() const { return cluster_.now(); }
    std::size_t core_count() { return cluster_.cores().size(); }

    std::mt19937_64& random() { return random_; }
    const ClusterShape& shape() const { return shape_; }
    SimulatedCluster& cluster() { return cluster_; }
    ScenarioTrace& trace() { return trace_; }
    OperatorMoves& operators() { return operators_; }

  private:
    std::mt19937_64 random_;
    const ClusterShape shape_;
    SimulatedCluster cluster_;
    ScenarioTrace trace_;
    OperatorMoves operators_;
};

}  // namespace gannethold::cluster::simulation
