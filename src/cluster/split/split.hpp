// The design: split fractions over the ready runners of one function, seen from one front.
//
// Each request's runner is drawn by the fractions; once a period a clamped gradient-projection step moves
// them toward the least marginal delay. Source: Hofmann and Krajewski, "Quasi-Static Load Balancing in Local
// Area Networks"; what the operators fixed beyond it (period, clamps, floor, first steps) stands in
// docs/system.md. No I/O and no clock.
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

    struct Share {
        std::string runner;
        double fraction = 0;
        double latency = 0, least = 0;  // smoothed and least seen, seconds; 0: no sample yet
        std::uint32_t slots = 1, out = 0;
        double marginal = 0, eta = 0;  // in the step: marginal delay, and its scale
    };

    // A new runner enters at the mean fraction and the mean estimate; the others are scaled to make room.
    void enter(const std::string& runner, std::uint32_t slots);
    void leave(const std::string& runner);  // at zero from here on
    // One draw by the fractions over those for which may() holds, unit uniform in [0, 1). nullptr: none.
    const Share* draw(double unit, const std::function<bool(const Share&)>& may) const;
    void sent(const std::string& runner);
    // Latency in seconds, over the work's usual time where works differ. A "full", an error, a reset or a
    // time-out counts as the time-out.
    void ended(const std::string& runner, double latency);
    void arrived() { ++arrivals_; }
    // The step of each whole period since the last call; chance picks among equals.
    void advance(Micros now, std::uint64_t chance);

    const std::vector<Share>& shares() const { return shares_; }
    bool idle() const { return rate_ < 1e-3 && arrivals_ == 0; }

  private:
    void step(std::uint64_t chance);
    void rescale();
    Share* find(const std::string& runner);
    static double marginal(const Share& s);

    std::vector<Share> shares_;
    double rate_ = 0;      // requests a second, smoothed
    double greatest_ = 0;  // M: of 2T^3/S over earlier periods
    int arrivals_ = 0;
    int steps_ = 0;
    Micros next_ = 0;
};

}  // namespace gannethold::cluster
