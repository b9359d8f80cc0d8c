// Who decides in virtual time: our module, or a baseline beside it. All take the same events and want the
// same actions, so each is held to the same rules by the same judge.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "balancer.hpp"
#include "day/day.hpp"

namespace gannethold::rehearsal {

class Policy {
  public:
    virtual ~Policy() = default;
    virtual void note(Micros now, const Event& event) = 0;
    virtual void settle(Micros now, std::vector<Action>& out) = 0;
    virtual std::vector<double> fractions(std::size_t) const { return {}; }
    virtual std::optional<LearnedState> lore() const { return std::nullopt; }
    virtual void believe(const LearnedState&) {}
};

// The true state, for the baseline that sees all: how long a usual task handed to that runner now would take.
using Truth = std::function<double(RunnerId)>;

// "own", "random", "round-robin", "least-outstanding", "two-choices" or "sees-all". Throws
// std::invalid_argument.
std::unique_ptr<Policy> make_policy(const std::string& name, const Day& day, const SettingsMap& orders,
                                    std::uint64_t seed, Truth truth);
const std::vector<std::string>& policy_names();

}  // namespace gannethold::rehearsal
