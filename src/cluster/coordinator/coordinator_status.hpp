// What a coordinator answers to gannethold-explain. The names of the JSON's members and parts are read by
// operators' tools.
#pragma once

#include <map>
#include <string>

#include "json/json.hpp"
#include "cluster/coordinator/coordinator.hpp"

namespace gannethold::cluster {

/// What the status is made of; refers, and is not kept.
struct CoordinatorView {
    const SlotTable& slot_table;
    const BoundedHistory<PlatformAction>& recent_actions;
    const std::map<Session, RegisteredProxy>& proxies;
};

/// Adds the part to `status`: starts, functions, waiting, overtakings or fronts; empty: all of them.
void add_coordinator_status(Micros now, const std::string& part, const CoordinatorView& view,
                            json::Object& status);

}  // namespace gannethold::cluster
