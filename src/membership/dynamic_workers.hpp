// Runners that discovery does not list: workers that connect and reserve tasks themselves. They are merged
// into the membership updates of discovery. A worker's name is reused after it has disconnected. No I/O.
#pragma once

#include <map>
#include <string>

#include "membership/endpoint_table.hpp"
#include "membership/operator_overrides.hpp"

namespace gannethold::membership {

// The workers that are connected now.
class DynamicWorkers {
  public:
    // Adds a worker that has connected. Returns its entry for the decision module.
    EndpointEntry add(EndpointTable& table, const std::string& kind, const std::string& zone,
                      const WorkloadSet& workloads, Micros started_at) {
        std::size_t number = 1;
        while (numbers_.contains(number)) ++number;
        const std::string name = "worker-" + std::to_string(number);
        EndpointEntry entry = table.make_dynamic_worker(name, kind, zone);
        entry.workloads = workloads, entry.started_at = started_at, entry.pulls = true;
        numbers_[number] = entry.runner;
        return entries_[entry.runner] = entry;
    }
    // Replaces the workloads that a worker serves. Returns its new entry.
    EndpointEntry set_workloads(RunnerId runner, const WorkloadSet& workloads) {
        entries_.at(runner).workloads = workloads;
        return entries_.at(runner);
    }
    // Removes a worker. Returns its entry with the state `gone`.
    EndpointEntry remove(RunnerId runner) {
        EndpointEntry entry = entries_.at(runner);
        entry.state = RunnerState::gone;
        entries_.erase(runner);
        for (auto number = numbers_.begin(); number != numbers_.end(); ++number)
            if (number->second == runner) return numbers_.erase(number), entry;
        return entry;
    }
    bool has(RunnerId runner) const { return entries_.contains(runner); }
    const std::map<RunnerId, EndpointEntry>& all() const { return entries_; }

    // The update for the decision module: a worker held by an operator is reported as draining.
    MembershipUpdate make_update(EndpointEntry entry, const OperatorOverrides& overrides,
                                 const EndpointTable& table) const {
        if (entry.state == RunnerState::ready && overrides.has(table.name_of(entry.runner)))
            entry.state = RunnerState::draining;
        return {UpdateScope::dynamic_workers, table.version(), {entry}};
    }
    // Adds all workers to a complete list, which would otherwise remove them.
    void apply_to(MembershipUpdate& update, const OperatorOverrides& overrides,
                  const EndpointTable& table) const {
        if (update.scope == UpdateScope::delta) return;
        for (const auto& [id, entry] : entries_)
            update.entries.push_back(make_update(entry, overrides, table).entries.front());
    }

  private:
    std::map<RunnerId, EndpointEntry> entries_;
    std::map<std::size_t, RunnerId> numbers_;  // the number in a worker's name
};

}  // namespace gannethold::membership
