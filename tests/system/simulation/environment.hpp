// What all parts of a simulated cluster share: its shape, the clock, chance, the digest and the violations
// found.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <utility>

#include "event_queue.hpp"
#include "output_recorder.hpp"
#include "planted_fault.hpp"
#include "violations.hpp"

namespace gannethold::cluster::simulation {

struct ClusterShape {
    std::size_t cores = 3;
    std::size_t seeds = 3;  // the first of the cores
    std::size_t proxies = 0;
    std::uint64_t seed = 1;      // of all chance
    Micros delay = 1'000;        // one way, up to four times that by chance
    double loss = 0;             // share of the messages between cores
    double bits_per_second = 0;  // of a core's uplink; 0: unlimited
    PlantedFault fault = PlantedFault::none;
    std::size_t workers = 6;
    std::int64_t worker_memory_mb = 4096;
};

/// The zone of the worker or proxy of that number: three zones in turn.
inline std::string zone_of(std::size_t number) {
    constexpr std::size_t kZones = 3;
    return "z" + std::to_string(number % kZones);
}

/// All chance of a simulation, drawn from one generator: the order of the draws is part of what a seed stands
/// for.
class RandomSource {
  public:
    explicit RandomSource(std::uint64_t seed) : generator_(seed * 7919 + 17) {}

    std::uint64_t next() { return generator_(); }
    /// Draws nothing if the probability is 0.
    bool happens(double probability) {
        return probability > 0 && std::uniform_real_distribution<>(0, 1)(generator_) < probability;
    }
    /// The delay of one hop: from one to four times the least one.
    Micros hop(Micros min_delay) {
        const double factor = std::uniform_real_distribution<>(0, 3)(generator_);
        return min_delay + static_cast<Micros>(factor * static_cast<double>(min_delay));
    }

  private:
    std::mt19937_64 generator_;
};

struct Environment {
    explicit Environment(const ClusterShape& its_shape)
        : shape(its_shape), random(its_shape.seed), recorder(events), violations(events) {}

    Micros now() const { return events.now(); }
    bool has_fault(PlantedFault fault) const { return shape.fault == fault; }
    /// Schedules the action after one hop of the network.
    void after_hop(EventQueue::Action action) { events.after(random.hop(shape.delay), std::move(action)); }

    const ClusterShape shape;
    EventQueue events;
    RandomSource random;
    OutputRecorder recorder;
    Violations violations;
};

}  // namespace gannethold::cluster::simulation
