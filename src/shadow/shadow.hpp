// Watches what other settings would decide, beside those in force. Pure: no I/O and no clock; times are
// passed in.
//
// In one turn of so many a copy of the module takes the other settings, hears the same events, and what it
// wants is compared with what was done; then it is thrown away. So nothing of it reaches the module in force,
// and each sampled turn starts from what that one has learned. What only builds up under the other settings
// is not seen.
//
//   shadow.begin(now, balancer);      before the first event of a turn
//   shadow.note(now, event);          each event, as the module hears it
//   shadow.settle(now, actions);      with what the module wanted in that turn
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <vector>

#include "balancer.hpp"

namespace gannethold::shadow {

enum class Kind { runner, held_or_sent, bounced, abandoned, withdrawn, probe, list_call, connection_closed };
inline constexpr std::array<const char*, 8> kNames{"another runner",    "held or sent",     "bounced",
                                                   "abandoned",         "withdrawn",        "probe",
                                                   "call for the list", "connection closed"};

struct Counts {
    std::uint64_t turns = 0, decisions = 0;  // sampled; a decision is one that either of the two took
    std::array<std::uint64_t, kNames.size()> differ{};
};

// The other settings for the workloads in force: a workload of the same name goes by its terms there, one
// that is not named there keeps those that it has. Both as WorkloadRegistry::settings() gives them.
SettingsMap laid_over(const SettingsMap& in_force, const SettingsMap& other);

// What differs between what was done in a turn and what the other would have done; adds to the counts.
void compare(const std::vector<Action>& done, const std::vector<Action>& other, Counts& counts);

class Shadow {
  public:
    // every: a turn of so many is sampled, at least 1.
    explicit Shadow(SettingsMap other, int every) : other_(std::move(other)), every_(every) {}

    void restate(SettingsMap other) { other_ = std::move(other); }
    // Whether there is time for it is for the caller to say; a turn that is due and left out is not made up
    // for.
    void begin(Micros now, const Balancer& balancer, bool has_time = true);
    void skip() { copy_.reset(); }                             // the rest of a turn that has begun
    bool samples_next() const { return turn_ + 1 >= every_; }  // asked before begin()
    bool watching() const { return copy_ != nullptr; }
    void note(Micros now, const Event& event) {
        if (copy_) copy_->apply(now, event);
    }
    void settle(Micros now, const std::vector<Action>& done);
    const Counts& counts() const { return counts_; }

  private:
    SettingsMap other_;
    const int every_;
    int turn_ = 0;  // since the last that was due
    std::unique_ptr<Balancer> copy_;
    Counts counts_;
};

}  // namespace gannethold::shadow
