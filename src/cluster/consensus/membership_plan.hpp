// Which machines should vote. The number of voters stays odd: an even number tolerates no more losses than
// the odd number below it. A learner replaces a voter that is silent or leaves. Without such a voter two
// learners are promoted together, and a single learner waits. A voter that only restarts stays a voter.
#pragma once

#include <string>
#include <vector>

#include "types.hpp"

namespace gannethold::cluster {

// A voter as its leader sees it.
struct VoterStatus {
    std::string address;
    bool is_leaving = false;
    Micros silent_for = 0;  // since its last response; 0: the leader itself
};

// Silence of a voter, and what follows from it.
struct MembershipTimes {
    Micros unresponsive_after = 0;  // learners are kept as its successors
    Micros replace_after = 0;       // a learner replaces it
    Micros remove_after = 0;        // it is removed without a successor
};

// The voters that there should be; the same as now if nothing is to change. ready_learners have caught up.
std::vector<std::string> plan_voters(const std::vector<VoterStatus>& voters,
                                     std::vector<std::string> ready_learners, const MembershipTimes& times);

}  // namespace gannethold::cluster
