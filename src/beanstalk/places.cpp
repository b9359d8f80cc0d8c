#include "beanstalk/places.hpp"

#include <algorithm>
#include <cstdlib>
#include <stdexcept>

namespace gannethold::beanstalk {

Workloads add_workloads(SettingsMap& orders, Trade& trade) {
    Workloads all;
    const auto stated = [&](const std::string& name) {
        const auto found = orders.find(name);
        return found == orders.end() ? std::string() : found->second;
    };
    std::size_t count = static_cast<std::size_t>(std::max(0, std::atoi(stated("workloads.count").c_str())));
    for (std::size_t i = 0; i < count && i < all.for_pushed.size(); ++i) all.for_pushed.set(i);
    const auto add = [&](const TubePlan& plan, const std::string& shown) {
        const std::string at = "workloads." + std::to_string(count) + ".";
        if (count >= all.for_pushed.size())
            throw std::runtime_error("beanstalk: with " + std::to_string(count) +
                                     " workloads and tubes there is no room for more");
        orders[at + "effect"] = plan.effect;
        orders[at + "due_time_us"] = std::to_string(plan.due);
        orders[at + "expiry_us"] = std::to_string(plan.expiry);
        orders[at + "importance"] = std::to_string(plan.importance);
        if (plan.pushed > 0) all.for_pushed.set(count);
        const WorkloadId id{static_cast<std::uint32_t>(count++)};
        all.names[id] = shown;
        return id;
    };
    for (TubePlan& plan : trade.tubes) {
        if (plan.workload.empty()) {
            all.places.named[plan.name] = add(plan, "tube " + plan.name);
            continue;
        }
        std::size_t place = 0;
        while (place < count && stated("workloads." + std::to_string(place) + ".name") != plan.workload)
            ++place;
        if (place == count)
            throw std::runtime_error("beanstalk: the tube " + plan.name + " shares the workload " +
                                     plan.workload + ", and there is none");
        const std::string at = "workloads." + std::to_string(place) + ".";
        // What a runner over HTTP does with its key no worker here does: it would run a repeat.
        if (stated(at + "effect") == "fingerprinted")
            throw std::runtime_error("beanstalk: the tube " + plan.name + " cannot share " + plan.workload +
                                     ": workers here cannot drop repeats");
        plan.effect = stated(at + "effect") == "idempotent" ? "idempotent" : "side-effecting";
        if (const auto due = std::atoll(stated(at + "due_time_us").c_str()); due > 0) plan.due = due;
        if (const auto expiry = std::atoll(stated(at + "expiry_us").c_str()); expiry > 0)
            plan.expiry = expiry;
        all.places.named[plan.name] = WorkloadId{static_cast<std::uint32_t>(place)};
    }
    // One more for the default tube, which always stands.
    for (std::size_t i = 0; i <= trade.other_tubes; ++i)
        all.places.free.push_back(add(trade.otherwise, "tube"));
    for (const char* const effect : {"idempotent", "side-effecting"}) {
        TubePlan chosen = trade.otherwise;
        chosen.effect = effect, chosen.pushed = 0;
        all.places.chosen[effect] = add(chosen, "tube (by number)");
    }
    orders["workloads.count"] = std::to_string(count);
    // Workloads that come with later orders stand behind the tubes, and are pushed like those before them.
    for (std::size_t i = count; i < all.for_pushed.size(); ++i) all.for_pushed.set(i);
    return all;
}

}  // namespace gannethold::beanstalk
