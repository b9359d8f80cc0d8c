#include "membership/endpoint_table.hpp"

#include <algorithm>
#include <chrono>
#include <set>

namespace gannethold::membership {
namespace {

// A place in the list that the operators state; what they do not name shares the place behind the last.
template <class Id>
Id index_of(const std::vector<std::string>& names, const std::string& name) {
    return static_cast<Id>(std::find(names.begin(), names.end(), name) - names.begin());
}

Micros to_monotonic(std::int64_t unix_ms, Micros now) {
    if (unix_ms <= 0) return 0;
    using namespace std::chrono;
    const auto unix_now = duration_cast<microseconds>(system_clock::now().time_since_epoch()).count();
    return std::max<Micros>(1, now - (unix_now - unix_ms * 1000));
}

}  // namespace

// The same at every dispatcher, since the module draws lots and circles from it.
RunnerId EndpointTable::assign_id(const std::string& id) {
    std::uint32_t hash = 2166136261U;
    for (const char c : id) hash = (hash ^ static_cast<unsigned char>(c)) * 16777619U;
    while (names_.contains(RunnerId{hash})) ++hash;
    names_.emplace(RunnerId{hash}, id);
    return RunnerId{hash};
}

EndpointEntry EndpointTable::make_dynamic_worker(const std::string& name, const std::string& kind,
                                                 const std::string& zone) {
    EndpointEntry e;
    const auto known =
        std::find_if(names_.begin(), names_.end(), [&](const auto& one) { return one.second == name; });
    e.runner = known == names_.end() ? assign_id(name) : known->first;
    e.zone = index_of<ZoneId>(zones_, zone),
    e.instance_type = index_of<InstanceTypeId>(instance_types_, kind);
    return e;
}

const std::string& EndpointTable::name_of(RunnerId runner) const {
    static const std::string unknown = "unknown";
    const auto found = names_.find(runner);
    return found == names_.end() ? unknown : found->second;
}

std::optional<EndpointTable::Changes> EndpointTable::current(const std::string& id) const {
    const auto found = held_.find(id);
    if (found == held_.end()) return std::nullopt;
    const KnownEndpoint& held = found->second;
    const Endpoint& e = held.entry;
    const RunnerState state = e.state.value_or(RunnerState::gone);
    Changes changes{{UpdateScope::delta, version_, {}}, {}};
    changes.update.entries.push_back({held.runner, index_of<ZoneId>(zones_, e.zone),
                                      index_of<InstanceTypeId>(instance_types_, e.kind), GroupId{e.group},
                                      state, e.share, held.started_at});
    if (e.address) changes.targets.push_back({held.runner, *e.address, state == RunnerState::ready, false});
    return changes;
}

std::optional<EndpointTable::Changes> EndpointTable::apply(const EndpointList& listing, UpdateScope scope,
                                                           Micros now) {
    // A whole list counts whatever its version: a discovery that has restarted counts from the beginning.
    if (scope == UpdateScope::delta && listing.version < version_) {
        log_.warning(now, "roster: passed over changes of version ", log::field("version", listing.version),
                     ", held is ", log::field("held", version_));
        is_out_of_sync_ = true;
        return std::nullopt;
    }
    version_ = listing.version;
    is_out_of_sync_ = false;
    Changes changes{{scope, version_, {}}, {}};
    std::set<std::string> listed;
    for (const Endpoint& value : listing.entries) {
        const auto known = held_.find(value.id);
        if (!value.is_valid()) {
            log_.warning(now, "roster: passed over the entry of ", log::field("runner", value.id), ", its ",
                         value.state ? "address" : "state", " cannot be read");
            if (known == held_.end()) continue;
        }
        const Endpoint& e = value.is_valid() ? value : known->second.entry;
        KnownEndpoint& held = known == held_.end() ? held_[e.id] : known->second;
        if (held.entry.id.empty()) held.runner = assign_id(e.id);
        // Reckoned once for each start: reckoned again it could differ a little, and look like another start.
        const bool restarted = !held.entry.id.empty() && held.entry.started_ms != e.started_ms;
        if (held.entry.id.empty() || restarted) held.started_at = to_monotonic(e.started_ms, now);
        const auto address = e.address ? e.address : held.entry.address;
        if (&held.entry != &e) held.entry = e;
        held.entry.address = address;
        listed.insert(e.id);
        changes.update.entries.push_back({held.runner, index_of<ZoneId>(zones_, e.zone),
                                          index_of<InstanceTypeId>(instance_types_, e.kind), GroupId{e.group},
                                          *e.state, e.share, held.started_at});
        if (address && (removal_is_binding_ || *e.state != RunnerState::gone))
            changes.targets.push_back({held.runner, *address, *e.state == RunnerState::ready, restarted});
    }
    if (scope == UpdateScope::delta) return changes;
    for (auto& [id, held] : held_) {
        if (listed.contains(id) || held.entry.state == RunnerState::gone) continue;
        held.entry.state = RunnerState::gone;
        if (held.entry.address && removal_is_binding_)
            changes.targets.push_back({held.runner, *held.entry.address, false, false});
    }
    return changes;
}

}  // namespace gannethold::membership
