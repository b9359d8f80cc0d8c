#include "cluster/consensus/membership_plan.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace gannethold::cluster {
namespace {

constexpr std::size_t kMinVoters = 3;  // that remain after a removal

bool is_leaving_or_silent(const VoterStatus& voter, Micros silence) {
    return voter.is_leaving || voter.silent_for >= silence;
}

// Used when no learner is ready: removes `count` voters that are leaving or have been silent for
// remove_after, so that the core tolerates the next failure.
std::vector<std::string> remove_without_successors(const std::vector<VoterStatus>& voters, std::size_t count,
                                                   Micros remove_after) {
    std::size_t to_remove = count;
    const auto removable =
        static_cast<std::size_t>(std::count_if(voters.begin(), voters.end(), [&](const auto& voter) {
            return is_leaving_or_silent(voter, remove_after);
        }));
    if (removable < count || voters.size() < kMinVoters + count) to_remove = 0;
    std::vector<std::string> remaining;
    for (const VoterStatus& voter : voters) {
        if (to_remove > 0 && is_leaving_or_silent(voter, remove_after))
            --to_remove;
        else
            remaining.push_back(voter.address);
    }
    return remaining;
}

}  // namespace

std::vector<std::string> plan_voters(const std::vector<VoterStatus>& voters,
                                     std::vector<std::string> ready_learners, const MembershipTimes& times) {
    std::vector<std::string> planned;
    bool changed = false;
    bool all_respond = true;  // of the remaining voters
    for (const VoterStatus& voter : voters) {
        if (is_leaving_or_silent(voter, times.replace_after) && !ready_learners.empty()) {
            planned.push_back(std::move(ready_learners.back()));
            ready_learners.pop_back();
            changed = true;
            continue;
        }
        planned.push_back(voter.address);
        all_respond = all_respond && !is_leaving_or_silent(voter, times.unresponsive_after);
    }
    const std::size_t step_to_odd = planned.size() % 2 == 0 ? 1 : 2;
    // While a voter does not respond, ready learners are reserved as its successors.
    if (all_respond && ready_learners.size() >= step_to_odd) {
        const auto first = ready_learners.end() - static_cast<std::ptrdiff_t>(step_to_odd);
        planned.insert(planned.end(), first, ready_learners.end());
        changed = true;
    }
    return changed ? planned : remove_without_successors(voters, step_to_odd, times.remove_after);
}

}  // namespace gannethold::cluster
