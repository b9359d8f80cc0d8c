#include "cluster/base/mechanisms.hpp"

#ifdef GANNETHOLD_MEASURING

#include <map>
#include <set>
#include <sstream>

namespace gannethold::cluster {
namespace {

const std::map<std::string, Mechanism> kByName{
    {"split_step", Mechanism::split_step},
    {"near_zone_first", Mechanism::near_zone_first},
    {"unrestricted_mode", Mechanism::unrestricted_mode},
    {"spare_slots", Mechanism::spare_slots},
    {"own_share", Mechanism::own_share},
    {"silence_detection", Mechanism::silence_detection},
    {"start_ahead", Mechanism::start_ahead},
    {"keep_by_rate", Mechanism::keep_by_rate},
    {"late_by_chance", Mechanism::late_by_chance},
    {"room_for_interruptions", Mechanism::room_for_interruptions},
    {"near_runners", Mechanism::near_runners},
    {"starts_for_waiting", Mechanism::starts_for_waiting},
    {"early_rejection", Mechanism::early_rejection},
    {"urgency_order", Mechanism::urgency_order},
    {"late_turns", Mechanism::late_turns},
    {"ejection", Mechanism::ejection},
    {"second_attempts", Mechanism::second_attempts},
    {"configuration_delta", Mechanism::configuration_delta},
};

std::set<Mechanism>& switched_off() {
    static std::set<Mechanism> mechanisms;
    return mechanisms;
}

}  // namespace

bool is_off(Mechanism mechanism) { return switched_off().contains(mechanism); }

bool switch_off(const std::string& names) {
    std::istringstream list(names);
    for (std::string name; std::getline(list, name, ',');) {
        const auto found = kByName.find(name);
        if (found == kByName.end()) return false;
        switched_off().insert(found->second);
    }
    return true;
}

}  // namespace gannethold::cluster

#endif
