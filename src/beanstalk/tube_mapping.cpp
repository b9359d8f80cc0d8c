#include "beanstalk/tube_mapping.hpp"

#include <algorithm>
#include <cstdlib>
#include <stdexcept>

namespace gannethold::beanstalk {

TubeWorkloads add_workloads(SettingsMap& settings, BrokerSettings& broker) {
    TubeWorkloads all;
    const auto setting = [&](const std::string& name) {
        const auto found = settings.find(name);
        return found == settings.end() ? std::string() : found->second;
    };
    std::size_t count = static_cast<std::size_t>(std::max(0, std::atoi(setting("workloads.count").c_str())));
    for (std::size_t i = 0; i < count && i < all.pushed_workloads.size(); ++i) all.pushed_workloads.set(i);
    const auto add = [&](const TubePlan& plan, const std::string& display_name) {
        const std::string at = "workloads." + std::to_string(count) + ".";
        if (count >= all.pushed_workloads.size())
            throw std::runtime_error("beanstalk: with " + std::to_string(count) +
                                     " workloads and tubes there is no room for more");
        settings[at + "effect"] = plan.effect;
        settings[at + "due_time_us"] = std::to_string(plan.due_time);
        settings[at + "expiry_us"] = std::to_string(plan.expiry);
        settings[at + "importance"] = std::to_string(plan.importance);
        if (plan.max_pushed > 0) all.pushed_workloads.set(count);
        const WorkloadId id{static_cast<std::uint32_t>(count++)};
        all.names[id] = display_name;
        return id;
    };
    for (TubePlan& plan : broker.tubes) {
        if (plan.workload.empty()) {
            all.mapping.by_name[plan.name] = add(plan, "tube " + plan.name);
            continue;
        }
        std::size_t index = 0;
        while (index < count && setting("workloads." + std::to_string(index) + ".name") != plan.workload)
            ++index;
        if (index == count)
            throw std::runtime_error("beanstalk: the tube " + plan.name + " shares the workload " +
                                     plan.workload + ", and there is none");
        const std::string at = "workloads." + std::to_string(index) + ".";
        // A runner over HTTP deduplicates by the idempotency key; a beanstalk worker would run a repeated job
        // again.
        if (setting(at + "effect") == "fingerprinted")
            throw std::runtime_error("beanstalk: the tube " + plan.name + " cannot share " + plan.workload +
                                     ": workers here cannot drop repeats");
        plan.effect = setting(at + "effect") == "idempotent" ? "idempotent" : "side-effecting";
        if (const auto due_time = std::atoll(setting(at + "due_time_us").c_str()); due_time > 0)
            plan.due_time = due_time;
        if (const auto expiry = std::atoll(setting(at + "expiry_us").c_str()); expiry > 0)
            plan.expiry = expiry;
        all.mapping.by_name[plan.name] = WorkloadId{static_cast<std::uint32_t>(index)};
    }
    // One more for the default tube, which always exists.
    for (std::size_t i = 0; i <= broker.max_other_tubes; ++i)
        all.mapping.unassigned.push_back(add(broker.default_plan, "tube"));
    for (const char* const effect : {"idempotent", "side-effecting"}) {
        TubePlan by_id_plan = broker.default_plan;
        by_id_plan.effect = effect, by_id_plan.max_pushed = 0;
        all.mapping.by_effect[effect] = add(by_id_plan, "tube (by number)");
    }
    settings["workloads.count"] = std::to_string(count);
    // Workloads of a later configuration follow those of the tubes, and runners over HTTP may serve them too.
    for (std::size_t i = count; i < all.pushed_workloads.size(); ++i) all.pushed_workloads.set(i);
    return all;
}

}  // namespace gannethold::beanstalk
