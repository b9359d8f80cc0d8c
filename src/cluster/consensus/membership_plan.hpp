// Which machines should vote. The number of voters stays odd: an even number tolerates no more losses than
// one less. A learner takes the place of a voter that is silent or leaves; without such a voter two learners
// come in together, and a single one stands by. A voter that only restarts stays a voter.
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

// After how long a silence a voter counts as what.
struct MembershipTimes {
    Micros unresponsive_after = 0;  // it may be going, so that a learner may be its successor
    Micros replace_after = 0;       // a learner takes its place
    Micros remove_after = 0;        // the core goes on without it
};

// The voters that there should be; the same as now if nothing is to change. ready_learners have caught up.
std::vector<std::string> plan_voters(const std::vector<VoterStatus>& voters,
                                     std::vector<std::string> ready_learners, const MembershipTimes& times);

}  // namespace gannethold::cluster
