// What a controller answers to gannethold-explain. The names of the JSON's members are read by operators'
// tools.
#pragma once

#include <string>

#include "json/json.hpp"
#include "cluster/base/settings.hpp"
#include "cluster/consensus/consensus.hpp"
#include "cluster/coordinator/coordinator.hpp"

namespace gannethold::cluster {

/// `part`: "core" or one of Coordinator::explain(); empty: all. `consensus`: nullptr where the disk can not
/// be used. `coordinator`: nullptr where this machine does not lead.
json::Value controller_status(Micros now, const std::string& part, const Settings& settings,
                              const Consensus* consensus, const Coordinator* coordinator);

}  // namespace gannethold::cluster
