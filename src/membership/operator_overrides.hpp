// Runners that operators hold back from new assignments. A held runner is reported to the decision module as
// draining, whatever discovery lists; once released it has the listed state again. No I/O.
#pragma once

#include <map>
#include <string>

#include "membership/endpoint_table.hpp"

namespace gannethold::membership {

// The holds that are in force, by runner name.
class OperatorOverrides {
  public:
    struct Hold {
        Micros since = 0;
        std::string by, why;
    };

    // Returns false if the runner is held already (`remove`: is not held).
    bool add(const std::string& runner, Hold hold) { return held_.emplace(runner, std::move(hold)).second; }
    bool remove(const std::string& runner) { return held_.erase(runner) > 0; }
    const std::map<std::string, Hold>& all() const { return held_; }
    bool has(const std::string& runner) const { return held_.contains(runner); }

    // Replaces the state of held runners in the changes from discovery.
    void apply_to(EndpointTable::Changes& changes, const EndpointTable& table) const {
        if (held_.empty()) return;
        for (EndpointEntry& entry : changes.update.entries)
            if (entry.state == RunnerState::ready && has(table.name_of(entry.runner)))
                entry.state = RunnerState::draining;
        for (EndpointTable::ConnectionTarget& target : changes.targets)
            target.open = target.open && !has(table.name_of(target.runner));
    }

  private:
    std::map<std::string, Hold> held_;
};

}  // namespace gannethold::membership
