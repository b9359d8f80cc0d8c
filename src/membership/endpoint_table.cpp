#include "membership/endpoint_table.hpp"

#include <algorithm>
#include <chrono>
#include <set>

namespace gannethold::membership {
namespace {

// The index in the configured list of names. All names that are not configured share the index past its end.
template <class Id>
Id index_of(const std::vector<std::string>& names, const std::string& name) {
    return static_cast<Id>(std::find(names.begin(), names.end(), name) - names.begin());
}

// Converts a Unix time to the monotonic clock of the event loop; at least 1, since 0 means unknown.
Micros to_monotonic(std::int64_t unix_ms, Micros now) {
    if (unix_ms <= 0) return 0;
    using namespace std::chrono;
    const auto unix_now = duration_cast<microseconds>(system_clock::now().time_since_epoch()).count();
    return std::max<Micros>(1, now - (unix_now - unix_ms * 1000));
}

}  // namespace

// FNV-1a of the id. Every dispatcher must derive the same number, since the decision module derives its
// hash ring and the order of slow start from it.
RunnerId EndpointTable::assign_id(const std::string& id) {
    std::uint32_t hash = 2166136261U;
    for (const char c : id) hash = (hash ^ static_cast<unsigned char>(c)) * 16777619U;
    while (names_.contains(RunnerId{hash})) ++hash;
    names_.emplace(RunnerId{hash}, id);
    return RunnerId{hash};
}

EndpointEntry EndpointTable::make_dynamic_worker(const std::string& name, const std::string& kind,
                                                 const std::string& zone) {
    EndpointEntry entry;
    const auto known =
        std::find_if(names_.begin(), names_.end(), [&](const auto& one) { return one.second == name; });
    entry.runner = known == names_.end() ? assign_id(name) : known->first;
    entry.zone = index_of<ZoneId>(zones_, zone),
    entry.instance_type = index_of<InstanceTypeId>(instance_types_, kind);
    return entry;
}

const std::string& EndpointTable::name_of(RunnerId runner) const {
    static const std::string unknown = "unknown";
    const auto found = names_.find(runner);
    return found == names_.end() ? unknown : found->second;
}

std::optional<EndpointTable::Changes> EndpointTable::current(const std::string& id) const {
    const auto found = known_.find(id);
    if (found == known_.end()) return std::nullopt;
    const KnownEndpoint& known = found->second;
    const Endpoint& entry = known.entry;
    const RunnerState state = entry.state.value_or(RunnerState::gone);
    Changes changes{{UpdateScope::delta, version_, {}}, {}};
    changes.update.entries.push_back({known.runner, index_of<ZoneId>(zones_, entry.zone),
                                      index_of<InstanceTypeId>(instance_types_, entry.kind),
                                      GroupId{entry.group}, state, entry.share, known.started_at});
    if (entry.address)
        changes.targets.push_back({known.runner, *entry.address, state == RunnerState::ready, false});
    return changes;
}

std::optional<EndpointTable::Changes> EndpointTable::apply(const EndpointList& list, UpdateScope scope,
                                                           Micros now) {
    // A complete list is accepted with any version: versions start again when discovery restarts.
    if (scope == UpdateScope::delta && list.version < version_) {
        log_.warning(now, "roster: passed over changes of version ", log::field("version", list.version),
                     ", held is ", log::field("held", version_));
        is_out_of_sync_ = true;
        return std::nullopt;
    }
    version_ = list.version;
    is_out_of_sync_ = false;
    Changes changes{{scope, version_, {}}, {}};
    std::set<std::string> listed;
    for (const Endpoint& received : list.entries) {
        const auto existing = known_.find(received.id);
        if (!received.is_valid()) {
            log_.warning(now, "roster: passed over the entry of ", log::field("runner", received.id),
                         ", its ", received.state ? "address" : "state", " cannot be read");
            if (existing == known_.end()) continue;
        }
        const Endpoint& entry = received.is_valid() ? received : existing->second.entry;
        KnownEndpoint& known = existing == known_.end() ? known_[entry.id] : existing->second;
        if (known.entry.id.empty()) known.runner = assign_id(entry.id);
        // Converted once for each start: a second conversion could differ slightly and look like a restart.
        const bool restarted = !known.entry.id.empty() && known.entry.started_ms != entry.started_ms;
        if (known.entry.id.empty() || restarted) known.started_at = to_monotonic(entry.started_ms, now);
        const auto address = entry.address ? entry.address : known.entry.address;
        if (&known.entry != &entry) known.entry = entry;
        known.entry.address = address;
        listed.insert(entry.id);
        changes.update.entries.push_back({known.runner, index_of<ZoneId>(zones_, entry.zone),
                                          index_of<InstanceTypeId>(instance_types_, entry.kind),
                                          GroupId{entry.group}, *entry.state, entry.share, known.started_at});
        if (address && (removal_is_binding_ || *entry.state != RunnerState::gone))
            changes.targets.push_back(
                {known.runner, *address, *entry.state == RunnerState::ready, restarted});
    }
    if (scope == UpdateScope::delta) return changes;
    for (auto& [id, known] : known_) {
        if (listed.contains(id) || known.entry.state == RunnerState::gone) continue;
        known.entry.state = RunnerState::gone;
        if (known.entry.address && removal_is_binding_)
            changes.targets.push_back({known.runner, *known.entry.address, false, false});
    }
    return changes;
}

}  // namespace gannethold::membership
