#include "cluster/consensus/membership_plan.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace gannethold::cluster {
namespace {

constexpr std::size_t kMinVoters = 3;  // removals leave at least so many

bool is_gone(const VoterStatus& voter, Micros silence) {
    return voter.is_leaving || voter.silent_for >= silence;
}

// No learner is ready: voters that leave or have been silent for long are removed without successors, so that
// the core tolerates the next loss.
std::vector<std::string> without_gone(const std::vector<VoterStatus>& voters, std::size_t count,
                                      Micros remove_after) {
    std::size_t to_remove = count;
    const auto gone = static_cast<std::size_t>(std::count_if(
        voters.begin(), voters.end(), [&](const auto& voter) { return is_gone(voter, remove_after); }));
    if (gone < count || voters.size() < kMinVoters + count) to_remove = 0;
    std::vector<std::string> staying;
    for (const VoterStatus& voter : voters) {
        if (to_remove > 0 && is_gone(voter, remove_after))
            --to_remove;
        else
            staying.push_back(voter.address);
    }
    return staying;
}

}  // namespace

std::vector<std::string> plan_voters(const std::vector<VoterStatus>& voters,
                                     std::vector<std::string> ready_learners, const MembershipTimes& times) {
    std::vector<std::string> planned;
    bool changed = false;
    bool all_respond = true;  // of those that stay
    for (const VoterStatus& voter : voters) {
        if (is_gone(voter, times.replace_after) && !ready_learners.empty()) {
            planned.push_back(std::move(ready_learners.back()));
            ready_learners.pop_back();
            changed = true;
            continue;
        }
        planned.push_back(voter.address);
        all_respond = all_respond && !is_gone(voter, times.unresponsive_after);
    }
    const std::size_t to_odd = planned.size() % 2 == 0 ? 1 : 2;
    // While a voter does not respond, ready learners are kept as its successors.
    if (all_respond && ready_learners.size() >= to_odd) {
        const auto first = ready_learners.end() - static_cast<std::ptrdiff_t>(to_odd);
        planned.insert(planned.end(), first, ready_learners.end());
        changed = true;
    }
    return changed ? planned : without_gone(voters, to_odd, times.remove_after);
}

}  // namespace gannethold::cluster
