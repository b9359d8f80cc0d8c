// Split fractions over the ready runners of one function, as one proxy sees them.
//
// Each request's runner is drawn by the fractions; once a period a clamped gradient-projection step moves
// them toward the runner of least marginal delay. Source: Hofmann and Krajewski, "Quasi-Static Load Balancing
// in Local Area Networks" ("the paper"; its sections are named beside the formulas). What the operators fixed
// beyond it (period, clamps, floor, first steps) stands in docs/system.md. No I/O and no clock.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "types.hpp"

namespace gannethold::cluster {

class Split {
  public:
    static constexpr Micros kPeriod = 1'000'000;

    /// One runner's row. Times in seconds.
    struct Share {
        std::string runner;
        double fraction = 0;          ///< of equation 1 (section 2); all add up to 1
        double latency = 0;           ///< T, smoothed; 0: no sample yet
        double min_latency = 0;       ///< S, the service time: the least sample; 0: no sample yet
        std::uint32_t slots = 1;      ///< requests that the runner takes at once
        std::uint32_t in_flight = 0;  ///< from this proxy
        double marginal = 0;          ///< in the step: the marginal delay (section 4.1, equation 14)
        double eta = 0;               ///< in the step: its size (section 5)
    };

    /// A new runner enters at the mean fraction and the mean estimates; the others are scaled to make room.
    /// Without effect for one that is there.
    void add_runner(const std::string& runner, std::uint32_t slots);
    void remove_runner(const std::string& runner);

    /// One draw by the fractions among the runners that are eligible. draw: uniform in [0, 1). nullptr: none
    /// is. The pointer is valid until a runner is added or removed.
    const Share* draw(double draw, const std::function<bool(const Share&)>& is_eligible) const;

    void on_request() { ++arrivals_; }
    void on_sent(const std::string& runner);
    /// latency: seconds. A rejection, an error, a reset or a time-out counts as the time-out; 0: the attempt
    /// says nothing about the runner's latency.
    void on_completed(const std::string& runner, double latency);
    /// Makes the step, once for all whole periods since the last call. random: picks among equals.
    void advance(Micros now, std::uint64_t random);

    const std::vector<Share>& shares() const { return shares_; }

  private:
    Share* find(const std::string& runner);
    bool update_max_curvature();
    double step_size(double max_curvature);
    void step(std::uint64_t random);
    void normalize();
    static double marginal_delay(const Share& share);

    std::vector<Share> shares_;
    double rate_ = 0;           // requests a second, smoothed
    double max_curvature_ = 0;  // M (Theorem 2): the greatest 2T^3/S so far
    int arrivals_ = 0;          // since the last period's end
    int steps_ = 0;             // made so far, counted while they are shortened
    Micros period_end_ = 0;     // of the period under way; 0: none began yet
};

}  // namespace gannethold::cluster
