// Runners that no list names: workers that have connected and ask for tasks. An overlay over what discovery
// says, like the operators' holds. Names are given out again once their last bearer has gone. No I/O.
#pragma once

#include <map>
#include <string>

#include "membership/endpoint_table.hpp"
#include "membership/operator_overrides.hpp"

namespace gannethold::membership {

class DynamicWorkers {
  public:
    // Who has just come; its entry for the module.
    EndpointEntry add(EndpointTable& book, const std::string& kind, const std::string& zone,
                      const WorkloadSet& serves, Micros started_at) {
        std::size_t n = 1;
        while (numbers_.contains(n)) ++n;
        const std::string name = "worker-" + std::to_string(n);
        EndpointEntry e = book.make_dynamic_worker(name, kind, zone);
        e.workloads = serves, e.started_at = started_at, e.pulls = true;
        numbers_[n] = e.runner;
        return entries_[e.runner] = e;
    }
    // What is now to be said of that one.
    EndpointEntry set_workloads(RunnerId runner, const WorkloadSet& serves) {
        entries_.at(runner).workloads = serves;
        return entries_.at(runner);
    }
    EndpointEntry remove(RunnerId runner) {
        EndpointEntry e = entries_.at(runner);
        e.state = RunnerState::gone;
        entries_.erase(runner);
        for (auto n = numbers_.begin(); n != numbers_.end(); ++n)
            if (n->second == runner) return numbers_.erase(n), e;
        return e;
    }
    bool has(RunnerId runner) const { return entries_.contains(runner); }
    const std::map<RunnerId, EndpointEntry>& all() const { return entries_; }

    // As the module is to hear it: a held one drains.
    MembershipUpdate make_update(EndpointEntry entry, const OperatorOverrides& holds,
                                 const EndpointTable& book) const {
        if (entry.state == RunnerState::ready && holds.has(book.name_of(entry.runner)))
            entry.state = RunnerState::draining;
        return {UpdateScope::dynamic_workers, book.version(), {entry}};
    }
    // A list that says all says nothing of guests: they stay.
    void apply_to(MembershipUpdate& update, const OperatorOverrides& holds, const EndpointTable& book) const {
        if (update.scope == UpdateScope::delta) return;
        for (const auto& [id, entry] : entries_)
            update.entries.push_back(this->make_update(entry, holds, book).entries.front());
    }

  private:
    std::map<RunnerId, EndpointEntry> entries_;
    std::map<std::size_t, RunnerId> numbers_;
};

}  // namespace gannethold::membership
