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
    {"incoming_majority_only", PlantedFault::incoming_majority_only},
    {"learners_vote_at_once", PlantedFault::learners_vote_at_once},
    {"no_joint_consensus", PlantedFault::no_joint_consensus},
    {"resend_complete_entry", PlantedFault::resend_complete_entry},
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
