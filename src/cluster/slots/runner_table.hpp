#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>

#include "cluster/slots/function.hpp"
#include "cluster/slots/runner_slots.hpp"
#include "cluster/wire/messages.hpp"
#include "types.hpp"

namespace gannethold::cluster {

// All runners, by number and by id. The address of a runner is stable until it is removed. The ids of ended
// runners are kept for a minute, because the platform's list still contains them for some time.
class RunnerTable {
  public:
    explicit RunnerTable(std::uint32_t first_number) : next_number_(first_number) {}

    // Adds a runner of the function in state starting. REQUIRES: its id is not in the table.
    RunnerSlots& add(Micros now, const RunnerInfo& info, Function& function);
    void mark_ready(RunnerSlots& runner);
    // Removes the runner and records its end.
    void remove(Micros now, RunnerSlots& runner);

    RunnerSlots* find(std::uint32_t number);
    RunnerSlots* find(const std::string& id);
    const RunnerSlots& at(std::uint32_t number) const { return runners_.at(number); }
    const std::unordered_map<std::uint32_t, RunnerSlots>& all() const { return runners_; }
    // Numbers of the runners that are starting.
    const std::set<std::uint32_t>& starting() const { return starting_; }

    bool has_ended(const std::string& id) const { return ended_.contains(id); }
    void record_end(Micros now, const std::string& id) { ended_[id] = now; }
    void remove_old_ends(Micros now);

    // Updates the slots of all runners to the current configuration.
    void update_slots();

  private:
    std::unordered_map<std::uint32_t, RunnerSlots> runners_;
    std::unordered_map<std::string, std::uint32_t> by_id_;
    std::set<std::uint32_t> starting_;
    std::unordered_map<std::string, Micros> ended_;  // times of end, by id
    std::uint32_t next_number_;
};

}  // namespace gannethold::cluster
