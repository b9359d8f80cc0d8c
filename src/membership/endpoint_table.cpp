#include "membership/endpoint_table.hpp"

#include <algorithm>
#include <chrono>
#include <set>

namespace gannethold::membership {
namespace {

// A place in the list that the operators state; what they do not name shares the place behind the last.
template <class Id>
Id place_in(const std::vector<std::string>& names, const std::string& name) {
    return static_cast<Id>(std::find(names.begin(), names.end(), name) - names.begin());
}

Micros on_our_clock(std::int64_t unix_ms, Micros now) {
    if (unix_ms <= 0) return 0;
    using namespace std::chrono;
    const auto unix_now = duration_cast<microseconds>(system_clock::now().time_since_epoch()).count();
    return std::max<Micros>(1, now - (unix_now - unix_ms * 1000));
}

}  // namespace

// The same at every dispatcher, since the module draws lots and circles from it.
RunnerId EndpointTable::number_for(const std::string& id) {
    std::uint32_t hash = 2166136261U;
    for (const char c : id) hash = (hash ^ static_cast<unsigned char>(c)) * 16777619U;
    while (names_.contains(RunnerId{hash})) ++hash;
    names_.emplace(RunnerId{hash}, id);
    return RunnerId{hash};
}

EndpointEntry EndpointTable::guest(const std::string& name, const std::string& kind, const std::string& zone) {
    EndpointEntry e;
    const auto known =
        std::find_if(names_.begin(), names_.end(), [&](const auto& one) { return one.second == name; });
    e.runner = known == names_.end() ? number_for(name) : known->first;
    e.zone = place_in<ZoneId>(zones_, zone), e.instance_type = place_in<InstanceTypeId>(kinds_, kind);
    return e;
}

const std::string& EndpointTable::name_of(RunnerId runner) const {
    static const std::string unknown = "unknown";
    const auto found = names_.find(runner);
    return found == names_.end() ? unknown : found->second;
}

std::optional<EndpointTable::Changes> EndpointTable::present(const std::string& id) const {
    const auto found = held_.find(id);
    if (found == held_.end()) return std::nullopt;
    const KnownEndpoint& held = found->second;
    const Endpoint& e = held.entry;
    const RunnerState state = e.state.value_or(RunnerState::gone);
    Changes news{{UpdateScope::delta, version_, {}}, {}};
    news.for_module.entries.push_back({held.runner, place_in<ZoneId>(zones_, e.zone),
                                       place_in<InstanceTypeId>(kinds_, e.kind), GroupId{e.group}, state,
                                       e.share, held.started_at});
    if (e.address) news.seats.push_back({held.runner, *e.address, state == RunnerState::ready, false});
    return news;
}

std::optional<EndpointTable::Changes> EndpointTable::take(const EndpointList& listing, UpdateScope scope, Micros now) {
    // A whole list counts whatever its version: a discovery that has restarted counts from the beginning.
    if (scope == UpdateScope::delta && listing.version < version_) {
        log_.warning(now, "roster: passed over changes of version ", log::field("version", listing.version),
                     ", held is ", log::field("held", version_));
        apart_ = true;
        return std::nullopt;
    }
    version_ = listing.version;
    apart_ = false;
    Changes news{{scope, version_, {}}, {}};
    std::set<std::string> listed;
    for (const Endpoint& said : listing.entries) {
        const auto known = held_.find(said.id);
        if (!said.sound()) {
            log_.warning(now, "roster: passed over the entry of ", log::field("runner", said.id), ", its ",
                         said.state ? "address" : "state", " cannot be read");
            if (known == held_.end()) continue;
        }
        const Endpoint& e = said.sound() ? said : known->second.entry;
        KnownEndpoint& held = known == held_.end() ? held_[e.id] : known->second;
        if (held.entry.id.empty()) held.runner = number_for(e.id);
        // Reckoned once for each start: reckoned again it could differ a little, and look like another start.
        const bool restarted = !held.entry.id.empty() && held.entry.started_ms != e.started_ms;
        if (held.entry.id.empty() || restarted) held.started_at = on_our_clock(e.started_ms, now);
        const auto address = e.address ? e.address : held.entry.address;
        if (&held.entry != &e) held.entry = e;
        held.entry.address = address;
        listed.insert(e.id);
        news.for_module.entries.push_back({held.runner, place_in<ZoneId>(zones_, e.zone),
                                           place_in<InstanceTypeId>(kinds_, e.kind), GroupId{e.group},
                                           *e.state, e.share, held.started_at});
        if (address && (gone_binds_ || *e.state != RunnerState::gone))
            news.seats.push_back({held.runner, *address, *e.state == RunnerState::ready, restarted});
    }
    if (scope == UpdateScope::delta) return news;
    for (auto& [id, held] : held_) {
        if (listed.contains(id) || held.entry.state == RunnerState::gone) continue;
        held.entry.state = RunnerState::gone;
        if (held.entry.address && gone_binds_)
            news.seats.push_back({held.runner, *held.entry.address, false, false});
    }
    return news;
}

}  // namespace gannethold::membership
