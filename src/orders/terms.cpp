#include "orders/terms.hpp"

#include <algorithm>

#include "standing_orders.hpp"

namespace gannethold::orders {
namespace {

const std::string kWorkloads = "workloads.";
// Lists over the workloads by their order; beside a workload that has a clause of its own they do not count.
const std::pair<const char*, const char*> kLists[] = {{"trade.class_stretch", "aim_stretch"},
                                                      {"trade.class_kind", "machine_kind"}};

std::size_t count_in(const StatedOrders& stated) {
    return static_cast<std::size_t>(std::clamp(Stated(stated).number("workloads.count", 0), 0.0, 1e4));
}

}  // namespace

Terms::Clauses Terms::clauses_of(const StatedOrders& stated, std::size_t n) {
    Clauses clauses;
    const std::string before = kWorkloads + std::to_string(n) + ".";
    for (auto at = stated.lower_bound(before); at != stated.end() && at->first.starts_with(before); ++at)
        clauses[at->first.substr(before.size())] = at->second;
    // The order in the file is no term: the same workload may stand elsewhere in the next.
    for (const auto& [list, clause] : kLists) {
        const auto items = Stated(stated).words(list);
        if (!items.empty() && !clauses.contains(clause))
            clauses[clause] = items[std::min(n, items.size() - 1)];
    }
    return clauses;
}

StatedOrders Terms::spell(const StatedOrders& rest, const std::vector<Place>& places) {
    StatedOrders stated;
    for (const auto& [name, value] : rest)
        if (!name.starts_with(kWorkloads) && std::none_of(std::begin(kLists), std::end(kLists),
                                                          [&](const auto& l) { return name == l.first; }))
            stated.emplace(name, value);
    stated[kWorkloads + "count"] = std::to_string(places.size());
    for (std::size_t i = 0; i < places.size(); ++i)
        for (const auto& [clause, value] : places[i].clauses)
            stated[kWorkloads + std::to_string(i) + "." + clause] = value;
    return stated;
}

Terms::Terms(const StatedOrders& stated, std::size_t configured) {
    const std::size_t n = std::max(count_in(stated), configured);
    for (std::size_t i = 0; i < n; ++i) {
        all_.push_back({clauses_of(stated, i), true, i >= configured, 0});
        if (i < configured) places_.push_back(static_cast<WorkloadId>(i));
    }
    stated_ = n > 0 ? spell(stated, all_) : stated;
}

const std::string& Terms::name_of(WorkloadId place) const {
    static const std::string unknown = "unknown";
    const auto at = static_cast<std::size_t>(place);
    if (at >= all_.size()) return unknown;
    const auto name = all_[at].clauses.find("name");
    return name == all_[at].clauses.end() ? unknown : name->second;
}

Terms::Change Terms::restate(Micros now, const StatedOrders& fresh, const Open& open) {
    Change change;
    std::vector<Place> all = all_;
    std::vector<WorkloadId> places;
    for (const WorkloadId place : places_) {
        Place& p = all[static_cast<std::size_t>(place)];
        p.in_force = false, p.left_at = now;
    }
    for (std::size_t i = 0; i < all.size(); ++i) change.learn_from.push_back(static_cast<WorkloadId>(i));
    for (std::size_t i = 0; i < count_in(fresh); ++i) {
        Clauses clauses = clauses_of(fresh, i);
        const std::string name = clauses["name"];
        const auto before =
            std::find_if(places_.begin(), places_.end(), [&](WorkloadId p) { return name_of(p) == name; });
        // The same terms may stand in a place at rest: a workload that comes back is the one it was.
        std::size_t at = 0;
        while (at < all.size() && (all[at].foreign || all[at].in_force || all[at].clauses != clauses)) ++at;
        if (at == all.size())
            for (at = 0; at < all.size(); ++at)
                if (!all[at].foreign && !all[at].in_force && now - all[at].left_at >= kRest &&
                    !open(static_cast<WorkloadId>(at)))
                    break;
        if (at == kMost)
            throw std::runtime_error("more than " + std::to_string(kMost) +
                                     " workloads are open, with those of earlier configurations");
        if (at == all.size()) all.emplace_back(), change.learn_from.push_back(static_cast<WorkloadId>(at));
        if (all[at].clauses != clauses) {
            // Nothing that another workload taught belongs to this one.
            change.learn_from[at] = before == places_.end() ? static_cast<WorkloadId>(kMost) : *before;
            all[at].clauses = std::move(clauses);
        }
        all[at].in_force = true;
        places.push_back(static_cast<WorkloadId>(at));
        if (before == places_.end())
            change.added.push_back(name);
        else if (*before != places.back())
            change.changed.push_back(name);
    }
    for (const WorkloadId p : places_) {
        const bool kept = std::any_of(places.begin(), places.end(), [&](WorkloadId q) {
            return all[static_cast<std::size_t>(q)].clauses["name"] == name_of(p);
        });
        if (!kept) change.dropped.push_back(name_of(p));
    }
    stated_ = spell(fresh, all);
    all_ = std::move(all);
    places_ = std::move(places);
    return change;
}

}  // namespace gannethold::orders
