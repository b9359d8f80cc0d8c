// The status that a controller reports to gannethold-explain. Operators' tools depend on the JSON field
// names.
#pragma once

#include <string>

#include "json/json.hpp"
#include "cluster/base/settings.hpp"
#include "cluster/consensus/consensus.hpp"
#include "cluster/coordinator/coordinator.hpp"

namespace gannethold::cluster {

/// `part` is "core" or a part of Coordinator::explain(); empty selects all parts. `consensus` is nullptr
/// while the disk is unusable. `coordinator` is nullptr unless this machine is the leader.
json::Value controller_status(Micros now, const std::string& part, const Settings& settings,
                              const Consensus* consensus, const Coordinator* coordinator);

}  // namespace gannethold::cluster
