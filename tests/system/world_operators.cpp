// Operators who put and read configurations, and fronts that greet, with what must hold of the answers: one
// body a number, nothing acknowledged that is refused later, no read of what is older than an acknowledgement
// before it, no answer by a machine that has long been cut off.
#include <algorithm>

#include "cluster/consensus/quorum.hpp"
#include "world_parts.hpp"

namespace gannethold::cluster::played {
namespace {

// No configuration that a front gets is older than what was acknowledged so long ago.
constexpr Micros kConfigurationAge = 1'000'000;

}  // namespace

std::size_t World::index_of(const Core& core) const {
    const auto at =
        std::find_if(cores_.begin(), cores_.end(), [&](const auto& other) { return other.get() == &core; });
    return static_cast<std::size_t>(at - cores_.begin());
}

std::optional<std::size_t> World::serving(std::size_t core) const {
    const Core& asked = *cores_[core];
    if (!asked.up || !asked.consensus || now_ < asked.stalled_until) return {};
    if (asked.consensus->has_lease(now_)) return core;
    // The caller follows a redirection once.
    for (std::size_t i = 0; i < cores_.size(); ++i) {
        const Core& named = *cores_[i];
        const bool answers = i != core && named.up && named.consensus && now_ >= named.stalled_until;
        if (answers && named.name == asked.consensus->leader() && named.consensus->has_lease(now_)) return i;
    }
    return {};
}

void World::put(Number version, std::size_t core, const std::string& mark) {
    const std::optional<std::size_t> at = serving(core);
    if (!at) return;
    Core& server = *cores_[*at];
    const Number ticket = ++ticket_;
    std::string sent = body(version, mark);
    const Order order{version, *at, hash_of(sent), now_};
    sent_bodies_[version].insert(order.body);
    const LogEntry* const held = server.consensus->committed_entry();
    if (shape_.sabotage == Sabotage::compare_no_bodies && held && version <= held->version)
        return confirmed(server, order);
    tickets_[ticket] = order;
    carry_out(server, server.consensus->propose(now_, {ticket, version, std::move(sent)}));
}

// ---- answers to orders

void World::answered(Core& core, const ProposalResult& result) {
    const auto ticket = tickets_.find(result.ticket);
    if (ticket == tickets_.end()) return;
    const Order order = ticket->second;
    tickets_.erase(ticket);
    if (result.outcome == ProposalOutcome::committed) confirmed(core, order);
    if (result.outcome == ProposalOutcome::conflict) refused(order);
}

void World::confirmed(Core& core, const Order& order) {
    const std::string named = "version " + std::to_string(order.version);
    ++confirmations;
    if (order.version > acknowledged_) acknowledged_at_[now_] = acknowledged_ = order.version;
    const auto [known, fresh] = acked_bodies_.emplace(order.version, order.body);
    if (!fresh && known->second != order.body) breach("two bodies acknowledged as " + named);
    if (refused_bodies_[order.version].count(order.body) > 0) breach("refused, then acknowledged: " + named);
    check_contact(index_of(core), order.asked_at, "acknowledged " + named);
    // What is acknowledged under its number is the one that is held, or a higher one is.
    const LogEntry* const entry = core.consensus ? core.consensus->committed_entry() : nullptr;
    if (!entry || entry->version < order.version)
        return breach("acknowledged " + named + " is not committed");
    if (entry->version == order.version && hash_of(entry->body) != order.body)
        breach("acknowledged " + named + ", and another body is committed");
    check_disks(*entry);
}

void World::refused(const Order& order) {
    const std::string named = "version " + std::to_string(order.version);
    ++conflicts;
    refused_bodies_[order.version].insert(order.body);
    const auto acknowledged = acked_bodies_.find(order.version);
    if (acknowledged != acked_bodies_.end() && acknowledged->second == order.body)
        breach("acknowledged, then refused: " + named);
    if (sent_bodies_[order.version].size() == 1) breach("refused, the only body sent as " + named);
}

// A quorum has it, or had it on a disk that was lost since.
void World::check_disks(const LogEntry& entry) {
    const bool held = has_quorum(entry.members, entry.outgoing_members, [&](const std::string& voter) {
        return std::any_of(cores_.begin(), cores_.end(), [&](const auto& core) {
            return core->name == voter && core->synced >= entry.position;
        });
    });
    if (!held) breach("acknowledged version " + std::to_string(entry.version) + " was on no quorum's disks");
}

// ---- contact with a majority

void World::note_cut_off() {
    for (std::size_t i = 0; i < cores_.size(); ++i) {
        bool reaches_one = false;
        for (std::size_t other = 0; other < cores_.size(); ++other)
            reaches_one = reaches_one || (other != i && joined(i, other) && joined(other, i));
        if (!reaches_one) cut_off_since_.emplace(i, now_);
    }
}

// Of what was asked of it once it had been cut off for longer than a lease, it answers nothing. What was
// asked before may still be confirmed: a frozen machine wakes to confirmations that came before the cut; for
// those check_disks() holds.
void World::check_contact(std::size_t i, Micros asked_at, const std::string& what) {
    const auto since = cut_off_since_.find(i);
    if (since == cut_off_since_.end()) return;
    if (asked_at > since->second + Consensus::Options().lease_duration)
        breach(cores_[i]->name + " was cut off for longer than a lease and " + what);
}

// ---- reads

// What that core itself serves; nullptr: it sends the caller on.
const LogEntry* World::read(std::size_t core, bool without_lease) const {
    const Core& asked = *cores_[core];
    if (!asked.up || !asked.consensus || now_ < asked.stalled_until) return nullptr;
    if (!without_lease && !asked.consensus->has_lease(now_)) return nullptr;
    return asked.consensus->committed_entry();
}

void World::get(std::size_t core) {
    const bool without_lease = shape_.sabotage == Sabotage::read_without_lease;
    const std::optional<std::size_t> at = without_lease ? core : serving(core);
    const LogEntry* const entry = at ? read(*at, without_lease) : nullptr;
    if (!entry || entry->version == 0) return;
    ++reads;
    const std::string named = "version " + std::to_string(entry->version);
    if (entry->version < acknowledged_)
        breach(cores_[*at]->name + " read out " + named + " after " + std::to_string(acknowledged_));
    check_contact(*at, now_, "read out " + named);
}

Number World::acknowledged_before(Micros when) const {
    const auto after = acknowledged_at_.upper_bound(when);
    return after == acknowledged_at_.begin() ? 0 : std::prev(after)->second;
}

void World::register_front(std::size_t core) {
    const LogEntry* const entry = read(core, shape_.sabotage == Sabotage::configure_without_lease);
    if (!entry || entry->version == 0) return;
    ++registrations;
    if (entry->version < acknowledged_before(now_ - kConfigurationAge))
        breach(cores_[core]->name + " gave a front version " + std::to_string(entry->version) + " after " +
               std::to_string(acknowledged_));
}

void World::reset_link(std::size_t a, std::size_t b) {
    links_.reset(a, b);
    links_.reset(b, a);
}

}  // namespace gannethold::cluster::played
