// Shadow evaluation: counts how often other settings would have led to other decisions than those in force.
// Pure: no I/O and no clock; times are passed in.
//
// In every n-th turn a copy of the Balancer takes the other settings and applies the same events. Its actions
// are compared with those of the Balancer in force, and the copy is discarded. So the shadow never affects
// the Balancer in force, and each sampled turn starts from what that one has learned. Effects that only build
// up over many turns under the other settings are not seen.
//
//   shadow.begin_turn(now, balancer);       before the first event of a turn
//   shadow.apply_event(now, event);         each event, before the Balancer in force applies it
//   shadow.compare_turn(now, actions);      with the actions of the Balancer in force
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <vector>

#include "balancer.hpp"

namespace gannethold::shadow {

enum class DecisionKind {
    runner,
    queued_or_assigned,
    bounced,
    abandoned,
    withdrawn,
    probe,
    list_call,
    connection_closed
};
inline constexpr std::array<const char*, 8> kDecisionKindNames{
    "another runner", "held or sent", "bounced",           "abandoned",
    "withdrawn",      "probe",        "call for the list", "connection closed"};

struct Counts {
    std::uint64_t turns = 0, decisions = 0;  // sampled turns, and decisions in them that either side took
    std::array<std::uint64_t, kDecisionKindNames.size()> differ{};
};

// The other settings, for the workloads in force: a workload takes the other settings of the workload with
// the same name, and keeps its own if there is none. Both are as WorkloadRegistry::settings() returns them.
SettingsMap merge_settings(const SettingsMap& in_force, const SettingsMap& other);

// Adds the differences between the actions of one turn and those of the shadow to the counts.
void compare(const std::vector<Action>& executed, const std::vector<Action>& other, Counts& counts);

class Shadow {
  public:
    // Samples one turn of `sample_interval`, which is at least 1.
    explicit Shadow(SettingsMap other, int sample_interval)
        : other_(std::move(other)), sample_interval_(sample_interval) {}

    void set_settings(SettingsMap other) { other_ = std::move(other); }
    // A due turn that is skipped because the caller has no time is not made up for.
    void begin_turn(Micros now, const Balancer& balancer, bool has_time = true);
    void abandon_turn() { copy_.reset(); }
    bool is_next_sampled() const { return turn_ + 1 >= sample_interval_; }  // call before begin_turn()
    bool is_sampling() const { return copy_ != nullptr; }
    void apply_event(Micros now, const Event& event) {
        if (copy_) copy_->apply(now, event);
    }
    void compare_turn(Micros now, const std::vector<Action>& executed);
    const Counts& counts() const { return counts_; }

  private:
    SettingsMap other_;
    const int sample_interval_;
    int turn_ = 0;  // since the last turn that was due
    std::unique_ptr<Balancer> copy_;
    Counts counts_;
};

}  // namespace gannethold::shadow
