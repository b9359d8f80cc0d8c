#include "invariant_checker.hpp"

#include <algorithm>
#include <functional>

#include "cluster/consensus/quorum.hpp"

namespace gannethold::cluster::simulation {
namespace {

// No configuration that a proxy gets is older than what was acknowledged so long ago.
constexpr Micros kMaxConfigurationAge = 1'000'000;

std::string version_text(Number version) { return "version " + std::to_string(version); }

}  // namespace

Proposal::BodyHash hash_of(const std::string& body) { return std::hash<std::string>{}(body); }

InvariantChecker::InvariantChecker(Environment& environment, const Network& network,
                                   const CoreMachines& cores)
    : environment_(environment), network_(network), cores_(cores) {}

void InvariantChecker::check_step(std::size_t core) {
    check_committed(core);
    check_leader(core);
}

void InvariantChecker::check_committed(std::size_t core) {
    const auto& consensus = cores_.at(core).consensus;
    const LogEntry* const entry = consensus ? consensus->committed_entry() : nullptr;
    if (!entry || entry->version == 0 || entry->position == newest_checked_[core]) return;
    newest_checked_[core] = entry->position;
    const Proposal::BodyHash body = hash_of(entry->body);
    const auto [known, is_new] = committed_bodies_.emplace(entry->version, body);
    if (!is_new && known->second != body) report("two bodies committed as " + version_text(entry->version));
}

void InvariantChecker::check_leader(std::size_t core) {
    if (!cores_.is_leading(core)) return;
    const Number term = cores_.at(core).consensus->current_term();
    const auto [known, is_new] = leader_of_term_.emplace(term, core);
    if (!is_new && known->second != core) report("two leaders in term " + std::to_string(term));
    if (cores_.leader_count() > 1) report("two act as leader at once: " + cores_.describe());
}

// ---- proposals

void InvariantChecker::on_proposed(const Proposal& proposal) {
    proposed_bodies_[proposal.version].insert(proposal.body);
}

void InvariantChecker::on_acknowledged(const Proposal& proposal) {
    const std::string name = version_text(proposal.version);
    if (proposal.version > acknowledged_) {
        acknowledged_ = proposal.version;
        acknowledged_at_[environment_.now()] = proposal.version;
    }
    const auto [known, is_new] = acknowledged_bodies_.emplace(proposal.version, proposal.body);
    if (!is_new && known->second != proposal.body) report("two bodies acknowledged as " + name);
    if (rejected_bodies_[proposal.version].contains(proposal.body))
        report("rejected, then acknowledged: " + name);
    check_contact(proposal.core, proposal.sent_at, "acknowledged " + name);
    // What is acknowledged is committed under its version, or a higher version is.
    const auto& consensus = cores_.at(proposal.core).consensus;
    const LogEntry* const entry = consensus ? consensus->committed_entry() : nullptr;
    if (!entry || entry->version < proposal.version) {
        report("acknowledged " + name + " is not committed");
        return;
    }
    if (entry->version == proposal.version && hash_of(entry->body) != proposal.body)
        report("acknowledged " + name + ", and another body is committed");
    check_disks(*entry);
}

void InvariantChecker::on_rejected(const Proposal& proposal) {
    const std::string name = version_text(proposal.version);
    rejected_bodies_[proposal.version].insert(proposal.body);
    const auto acknowledged = acknowledged_bodies_.find(proposal.version);
    if (acknowledged != acknowledged_bodies_.end() && acknowledged->second == proposal.body)
        report("acknowledged, then rejected: " + name);
    if (proposed_bodies_[proposal.version].size() == 1) report("rejected, the only body proposed as " + name);
}

void InvariantChecker::check_disks(const LogEntry& entry) {
    const bool synced = has_quorum(entry.members, entry.outgoing_members, [&](const std::string& voter) {
        for (std::size_t core = 0; core < cores_.size(); ++core)
            if (cores_.at(core).address == voter && cores_.at(core).newest_synced >= entry.position)
                return true;
        return false;
    });
    if (!synced) report("acknowledged " + version_text(entry.version) + " was on no quorum's disks");
}

// A core that has been cut off for longer than a lease answers nothing that was requested since. What was
// requested before may still be acknowledged: a stalled machine may resume with acknowledgements that arrived
// before the cut; check_disks() covers those.
void InvariantChecker::check_contact(std::size_t core, Micros requested_at, const std::string& what) {
    const std::optional<Micros> since = network_.cut_off_since(core);
    if (!since) return;
    if (requested_at > *since + Consensus::Options().lease_duration)
        report(cores_.at(core).address + " was cut off for longer than a lease and " + what);
}

// ---- reads

Number InvariantChecker::acknowledged_by(Micros when) const {
    const auto after = acknowledged_at_.upper_bound(when);
    return after == acknowledged_at_.begin() ? 0 : std::prev(after)->second;
}

void InvariantChecker::on_read(std::size_t core, const LogEntry& entry) {
    const std::string name = version_text(entry.version);
    if (entry.version < acknowledged_)
        report(cores_.at(core).address + " read out " + name + " after " + std::to_string(acknowledged_));
    check_contact(core, environment_.now(), "read out " + name);
}

void InvariantChecker::on_registered(std::size_t core, const LogEntry& entry) {
    if (entry.version < acknowledged_by(environment_.now() - kMaxConfigurationAge))
        report(cores_.at(core).address + " gave a proxy " + version_text(entry.version) + " after " +
               std::to_string(acknowledged_));
}

}  // namespace gannethold::cluster::simulation
