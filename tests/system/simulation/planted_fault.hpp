// Faults that are put into the code under test on purpose, to show that the invariant checks can fail.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace gannethold::cluster::simulation {

enum class PlantedFault : std::uint8_t {
    none,
    send_before_sync,         // messages leave before the state that they report is on disk
    vote_after_wipe,          // an empty disk counts as that of a member that never voted
    lease_without_drift,      // a lease lasts longer than the others wait
    read_without_lease,       // a GET is answered by any core with a committed configuration
    configure_without_lease,  // likewise the registration of a proxy
    unchecked_body,           // a version not above the committed one is confirmed, whatever its body
    incoming_majority_only,   // during a change of membership only the new voters are counted
    learners_vote_at_once,    // a learner becomes a voter before it has the state
    no_joint_consensus,       // the old voters have no say in a change of membership
    resend_complete_entry,    // on a timer, without waiting for an acknowledgement
    end_without_answers,      // a proxy shuts down without answering what is open
    retry_after_timeout,      // a call without an answer is taken for one that was not sent
};

/// The fault of that name, as its enumerator is spelled; nothing for a name that is not known.
std::optional<PlantedFault> parse_planted_fault(std::string_view name);

}  // namespace gannethold::cluster::simulation
