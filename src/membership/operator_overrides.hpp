// Runners that the operators hold back: an overlay over what discovery says. For the module a held runner
// drains, whatever the list says of it; who is released is again what the list says. No I/O.
#pragma once

#include <map>
#include <string>

#include "membership/endpoint_table.hpp"

namespace gannethold::membership {

class OperatorOverrides {
  public:
    struct Hold {
        Micros since = 0;
        std::string by, why;
    };

    // False where it is held (not held) already.
    bool add(const std::string& runner, Hold hold) { return held_.emplace(runner, std::move(hold)).second; }
    bool remove(const std::string& runner) { return held_.erase(runner) > 0; }
    const std::map<std::string, Hold>& all() const { return held_; }
    bool has(const std::string& runner) const { return held_.contains(runner); }

    // What discovery says, as the rest of the program is to hear it.
    void apply_to(EndpointTable::Changes& changes, const EndpointTable& book) const {
        if (held_.empty()) return;
        for (EndpointEntry& e : changes.update.entries)
            if (e.state == RunnerState::ready && has(book.name_of(e.runner))) e.state = RunnerState::draining;
        for (EndpointTable::ConnectionTarget& s : changes.targets)
            s.open = s.open && !has(book.name_of(s.runner));
    }

  private:
    std::map<std::string, Hold> held_;
};

}  // namespace gannethold::membership
