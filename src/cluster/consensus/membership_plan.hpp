// Decides which machines should be voters. The number of voters is kept odd, since an even number tolerates
// no more failures than the odd number below it. A learner replaces a voter that is silent or leaving. If
// there is no such voter, two learners are promoted together, and a single learner waits. A restarting voter
// remains a voter.
#pragma once

#include <string>
#include <vector>

#include "types.hpp"

namespace gannethold::cluster {

// A voter as its leader sees it.
struct VoterStatus {
    std::string address;
    bool is_leaving = false;
    Micros silent_for = 0;  // time since its last response; 0 for the leader itself
};

// Thresholds for the silence of a voter.
struct MembershipTimes {
    Micros unresponsive_after = 0;  // learners are reserved as its successors
    Micros replace_after = 0;       // a learner replaces it
    Micros remove_after = 0;        // it is removed without a successor
};

// Returns the planned voters; the same as the current ones if there is nothing to change. `ready_learners`
// have caught up with the leader.
std::vector<std::string> plan_voters(const std::vector<VoterStatus>& voters,
                                     std::vector<std::string> ready_learners, const MembershipTimes& times);

}  // namespace gannethold::cluster
