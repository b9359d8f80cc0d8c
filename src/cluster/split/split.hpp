// Split fractions over the ready runners of one function, as one proxy sees them.
//
// The runner for each request is drawn at random, weighted by the fractions. Once per period a clamped
// gradient-projection step moves the fractions toward the runner with the least marginal delay. Source:
// Hofmann and Krajewski, "Quasi-Static Load Balancing in Local Area Networks" ("the paper"; comments on the
// formulas name its sections). docs/system.md lists the parameters that the paper leaves open: period,
// clamps, floor and first steps. Performs no I/O and reads no clock.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "types.hpp"

namespace gannethold::cluster {

/// Distributes the requests of one function over its ready runners.
class Split {
  public:
    static constexpr Micros kPeriod = 1'000'000;

    /// State of one runner. Times are in seconds.
    struct Share {
        std::string runner;
        double fraction = 0;          ///< equation 1 (section 2); the fractions of all runners add up to 1
        double latency = 0;           ///< T, smoothed; 0: no sample yet
        double min_latency = 0;       ///< S, the service time: the smallest sample; 0: no sample yet
        std::uint32_t slots = 1;      ///< requests that the runner serves at the same time
        std::uint32_t in_flight = 0;  ///< requests that this proxy has in flight to the runner
        double marginal = 0;          ///< marginal delay, input of the step (section 4.1, equation 14)
        double eta = 0;               ///< step size, input of the step (section 5)
    };

    /// Adds a runner with the mean fraction and the mean estimates of the others, whose fractions are scaled
    /// down. Does nothing if the runner is already present.
    void add_runner(const std::string& runner, std::uint32_t slots);
    void remove_runner(const std::string& runner);

    /// Draws one of the eligible runners, weighted by the fractions. draw: uniform in [0, 1). Returns nullptr
    /// if no runner is eligible. The pointer is valid until a runner is added or removed.
    const Share* draw(double draw, const std::function<bool(const Share&)>& is_eligible) const;

    /// Counts a request of a client, for the arrival rate.
    void on_request() { ++arrivals_; }
    void on_sent(const std::string& runner);
    /// latency: in seconds. The caller passes the time-out for a rejection, an error, a reset or a time-out,
    /// and 0 for an attempt from which the latency of the runner cannot be inferred.
    void on_completed(const std::string& runner, double latency);
    /// Makes one step for all whole periods since the last call. random: breaks ties between runners.
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
    double rate_ = 0;           // requests per second, smoothed
    double max_curvature_ = 0;  // M (Theorem 2): the largest 2T^3/S so far
    int arrivals_ = 0;          // requests since the end of the last period
    int steps_ = 0;             // steps made so far
    Micros period_end_ = 0;     // end of the current period; 0: no period has begun
};

}  // namespace gannethold::cluster
