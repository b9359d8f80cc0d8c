// The status that a coordinator reports to gannethold-explain. Operators' tools read the names of the parts
// and of the JSON members.
#pragma once

#include <map>
#include <string>

#include "json/json.hpp"
#include "cluster/coordinator/coordinator.hpp"

namespace gannethold::cluster {

/// References to the reported state, for the duration of one call.
struct CoordinatorView {
    const SlotTable& slot_table;
    const BoundedHistory<PlatformAction>& recent_actions;
    const std::map<Session, RegisteredProxy>& proxies;
};

/// Adds the part to `status`: starts, functions, waiting, overtakings or fronts; empty: all parts.
void add_coordinator_status(Micros now, const std::string& part, const CoordinatorView& view,
                            json::Object& status);

}  // namespace gannethold::cluster
