#include "planted_fault.hpp"

namespace gannethold::cluster::simulation {
namespace {

struct NamedFault {
    std::string_view name;
    PlantedFault fault;
};

constexpr NamedFault kFaults[] = {
    {"send_before_sync", PlantedFault::send_before_sync},
    {"vote_after_wipe", PlantedFault::vote_after_wipe},
    {"lease_without_drift", PlantedFault::lease_without_drift},
    {"read_without_lease", PlantedFault::read_without_lease},
    {"configure_without_lease", PlantedFault::configure_without_lease},
    {"unchecked_body", PlantedFault::unchecked_body},
    {"quorum_of_new_voters", PlantedFault::quorum_of_new_voters},
    {"learner_votes_at_once", PlantedFault::learner_votes_at_once},
    {"change_without_joint_step", PlantedFault::change_without_joint_step},
    {"resend_full_entry", PlantedFault::resend_full_entry},
    {"end_without_answers", PlantedFault::end_without_answers},
    {"retry_after_timeout", PlantedFault::retry_after_timeout},
};

}  // namespace

std::optional<PlantedFault> parse_planted_fault(std::string_view name) {
    for (const NamedFault& known : kFaults)
        if (known.name == name) return known.fault;
    return std::nullopt;
}

}  // namespace gannethold::cluster::simulation
