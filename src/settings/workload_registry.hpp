// Assigns the workloads of the settings to ids of the decision module, across changes of the settings.
// Performs no I/O and reads no clock.
//
// A task keeps the settings under which it arrived. So a workload whose settings change gets another id, and
// the old id stays valid for its open tasks. An id that is no longer in force is reused once it has no open
// tasks and kReuseDelay has passed.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

#include "types.hpp"

namespace gannethold::settings {

class WorkloadRegistry {
  public:
    static constexpr std::size_t kMaxWorkloads = 256;  // ids, in force or not
    // Covers the time between a request's head and its task, in which the id is used but no task is open.
    static constexpr Micros kReuseDelay = 10'000'000;

    // configured: the number of workloads, from the first on, that the configuration names. Those after them
    // belong to other front ends and never change.
    WorkloadRegistry(const SettingsMap& settings, std::size_t configured);

    // The settings for the decision module: with every workload by id, whether in force or not.
    const SettingsMap& settings() const { return settings_; }
    // The ids of the configuration's workloads, in the configuration's order.
    const std::vector<WorkloadId>& active_workloads() const { return active_; }
    // The name of a workload, or "unknown".
    const std::string& name_of(WorkloadId id) const;

    struct Change {
        std::vector<std::string> added, dropped, changed;  // names
        std::vector<WorkloadId> learn_from;  // by id: the workload whose estimates it takes over
    };
    using HasOpenTasks = std::function<bool(WorkloadId)>;
    // Puts new settings in force. Throws std::runtime_error, and changes nothing, if no id is left.
    Change update(Micros now, const SettingsMap& fresh, const HasOpenTasks& has_open_tasks);

  private:
    using WorkloadSettings = std::map<std::string, std::string>;  // names without "workloads.N."
    struct Entry {
        WorkloadSettings settings;
        bool is_active = false;
        bool is_foreign = false;  // belongs to another front end
        Micros retired_at = 0;
    };
    static WorkloadSettings read_workload(const SettingsMap& settings, std::size_t index);
    static SettingsMap write_settings(const SettingsMap& rest, const std::vector<Entry>& entries);

    std::vector<Entry> entries_;  // by id
    std::vector<WorkloadId> active_;
    SettingsMap settings_;
};

}  // namespace gannethold::settings
