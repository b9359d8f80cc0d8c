#include "settings/workload_registry.hpp"

#include <algorithm>

#include "balancer_settings.hpp"

namespace gannethold::settings {
namespace {

const std::string kWorkloads = "workloads.";
// Lists with one item per workload, in the order of the file, and the workload's setting that overrides each.
const std::pair<const char*, const char*> kLists[] = {{"trade.class_stretch", "aim_stretch"},
                                                      {"trade.class_kind", "machine_kind"}};

std::size_t count_in(const SettingsMap& settings) {
    return static_cast<std::size_t>(
        std::clamp(SettingsReader(settings).get_number("workloads.count", 0), 0.0, 1e4));
}

}  // namespace

WorkloadRegistry::WorkloadSettings WorkloadRegistry::read_workload(const SettingsMap& settings,
                                                                   std::size_t index) {
    WorkloadSettings workload;
    const std::string prefix = kWorkloads + std::to_string(index) + ".";
    for (auto at = settings.lower_bound(prefix); at != settings.end() && at->first.starts_with(prefix); ++at)
        workload[at->first.substr(prefix.size())] = at->second;
    // Items of lists become settings of the workload, so that a change of its position in the file alone does
    // not change its settings.
    for (const auto& [list, name] : kLists) {
        const auto items = SettingsReader(settings).get_list(list);
        if (!items.empty() && !workload.contains(name))
            workload[name] = items[std::min(index, items.size() - 1)];
    }
    return workload;
}

SettingsMap WorkloadRegistry::write_settings(const SettingsMap& rest, const std::vector<Entry>& entries) {
    SettingsMap settings;
    for (const auto& [name, value] : rest)
        if (!name.starts_with(kWorkloads) &&
            std::none_of(std::begin(kLists), std::end(kLists),
                         [&](const auto& list) { return name == list.first; }))
            settings.emplace(name, value);
    settings[kWorkloads + "count"] = std::to_string(entries.size());
    for (std::size_t i = 0; i < entries.size(); ++i)
        for (const auto& [name, value] : entries[i].settings)
            settings[kWorkloads + std::to_string(i) + "." + name] = value;
    return settings;
}

WorkloadRegistry::WorkloadRegistry(const SettingsMap& settings, std::size_t configured) {
    const std::size_t count = std::max(count_in(settings), configured);
    for (std::size_t i = 0; i < count; ++i) {
        entries_.push_back({read_workload(settings, i), true, i >= configured, 0});
        if (i < configured) active_.push_back(static_cast<WorkloadId>(i));
    }
    settings_ = count > 0 ? write_settings(settings, entries_) : settings;
}

const std::string& WorkloadRegistry::name_of(WorkloadId id) const {
    static const std::string unknown = "unknown";
    const auto index = static_cast<std::size_t>(id);
    if (index >= entries_.size()) return unknown;
    const auto name = entries_[index].settings.find("name");
    return name == entries_[index].settings.end() ? unknown : name->second;
}

WorkloadRegistry::Change WorkloadRegistry::update(Micros now, const SettingsMap& fresh,
                                                  const HasOpenTasks& has_open_tasks) {
    Change change;
    std::vector<Entry> entries = entries_;
    std::vector<WorkloadId> active;
    for (const WorkloadId id : active_) {
        Entry& entry = entries[static_cast<std::size_t>(id)];
        entry.is_active = false, entry.retired_at = now;
    }
    for (std::size_t i = 0; i < entries.size(); ++i) change.learn_from.push_back(static_cast<WorkloadId>(i));
    for (std::size_t i = 0; i < count_in(fresh); ++i) {
        WorkloadSettings workload = read_workload(fresh, i);
        const std::string name = workload["name"];
        const auto before =
            std::find_if(active_.begin(), active_.end(), [&](WorkloadId id) { return name_of(id) == name; });
        // A retired entry with the same settings is put in force again, with its id and its estimates.
        std::size_t at = 0;
        while (at < entries.size() &&
               (entries[at].is_foreign || entries[at].is_active || entries[at].settings != workload))
            ++at;
        if (at == entries.size())
            for (at = 0; at < entries.size(); ++at)
                if (!entries[at].is_foreign && !entries[at].is_active &&
                    now - entries[at].retired_at >= kReuseDelay &&
                    !has_open_tasks(static_cast<WorkloadId>(at)))
                    break;
        if (at == kMaxWorkloads)
            throw std::runtime_error("more than " + std::to_string(kMaxWorkloads) +
                                     " workloads are open, with those of earlier configurations");
        if (at == entries.size())
            entries.emplace_back(), change.learn_from.push_back(static_cast<WorkloadId>(at));
        if (entries[at].settings != workload) {
            // The id keeps no estimates of the workload that had it before; kMaxWorkloads is no valid id.
            change.learn_from[at] =
                before == active_.end() ? static_cast<WorkloadId>(kMaxWorkloads) : *before;
            entries[at].settings = std::move(workload);
        }
        entries[at].is_active = true;
        active.push_back(static_cast<WorkloadId>(at));
        if (before == active_.end())
            change.added.push_back(name);
        else if (*before != active.back())
            change.changed.push_back(name);
    }
    for (const WorkloadId before : active_) {
        const bool is_kept = std::any_of(active.begin(), active.end(), [&](WorkloadId id) {
            return entries[static_cast<std::size_t>(id)].settings["name"] == name_of(before);
        });
        if (!is_kept) change.dropped.push_back(name_of(before));
    }
    settings_ = write_settings(fresh, entries);
    entries_ = std::move(entries);
    active_ = std::move(active);
    return change;
}

}  // namespace gannethold::settings
