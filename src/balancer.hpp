// The public interface of the decision module: one Balancer per dispatcher.
//
//   Balancer balancer(settings, seed);           once, at start
//   balancer.apply(now, event);                  for each event, in order
//   balancer.collect_actions(now, actions);      once per batch, after its last event
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "learned_state.hpp"
#include "types.hpp"

namespace gannethold {

// A snapshot of what the module knows about one runner, for operators and tests. Times are on the caller's
// clock; slots and free slots count tasks; the fraction and the slow start factor lie between 0 and 1.
struct RunnerView {
    RunnerId runner{};
    bool ready = false, trial = false, suspected = false;
    double fraction = 0, slots = 0, free_slots = 0, slow_start_factor = 1;
    int in_flight = 0;
    Micros reported_at = -1, ejected_until = 0;  // -1: no report yet
};

// Decides which runner each task is sent to, and when a task is retried, rejected or abandoned. Performs no
// I/O and reads no clock.
class Balancer {
  public:
    Balancer(const SettingsMap& settings, std::uint64_t seed);
    // Copies the whole state including the random generator: the same events then give the same actions.
    Balancer(const Balancer& other);
    ~Balancer();

    // Updates the state with one event.
    void apply(Micros now, const Event& event);
    // Appends the actions that follow from all events since the last call.
    void collect_actions(Micros now, std::vector<Action>& out);

    // The fraction of the traffic that each ready runner gets; for operators and tests.
    std::map<RunnerId, double> fractions() const;
    std::vector<RunnerView> runners() const;
    // Exports the learned state, with the runners of at most `limit` rows of the table from row `offset` on:
    // exporting a large table in one call would block an event loop.
    LearnedState learned_state(std::size_t offset = 0,
                               std::size_t limit = static_cast<std::size_t>(-1)) const;
    // Takes over state that an earlier process learned, already decayed by the caller. Called once, after
    // the cached runner list. It never makes a runner ready or healthy and never ends its slow start.
    void restore(const LearnedState& learned);

  private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace gannethold
