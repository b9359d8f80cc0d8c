// What the other parts and the tests may ask of the core machines.
#include <algorithm>
#include <sstream>

#include "core_machines.hpp"

namespace gannethold::cluster::simulation {

bool CoreMachines::is_responsive(std::size_t core) const {
    const CoreMachine& machine = at(core);
    return machine.up && machine.consensus && environment_.now() >= machine.stalled_until;
}

bool CoreMachines::is_leading(std::size_t core) const {
    return is_responsive(core) && at(core).consensus->has_lease(environment_.now());
}

bool CoreMachines::is_recovering(std::size_t core) const {
    return !at(core).consensus || at(core).consensus->is_recovering();
}

std::optional<std::size_t> CoreMachines::leader() const {
    for (std::size_t core = 0; core < size(); ++core)
        if (is_leading(core)) return core;
    return {};
}

std::size_t CoreMachines::leader_count() const {
    std::size_t count = 0;
    for (std::size_t core = 0; core < size(); ++core)
        if (is_leading(core)) ++count;
    return count;
}

Number CoreMachines::committed_version() const {
    const std::optional<std::size_t> leading = leader();
    const LogEntry* const entry = leading ? at(*leading).consensus->committed_entry() : nullptr;
    return entry ? entry->version : 0;
}

std::size_t CoreMachines::voter_count() const {
    const std::optional<std::size_t> leading = leader();
    return leading ? at(*leading).consensus->voters().size() : 0;
}

std::size_t CoreMachines::learner_count() const {
    const std::optional<std::size_t> leading = leader();
    return leading ? at(*leading).consensus->learners().size() : 0;
}

bool CoreMachines::has_only_live_voters() const {
    const std::optional<std::size_t> leading = leader();
    if (!leading) return false;
    const auto& voters = at(*leading).consensus->voters();
    return std::all_of(voters.begin(), voters.end(), [&](const std::string& voter) {
        return std::any_of(machines_.begin(), machines_.end(), [&](const auto& candidate) {
            return candidate->address == voter && !candidate->retired;
        });
    });
}

Number CoreMachines::term() const {
    Number highest = 0;
    for (const auto& each : machines_)
        if (each->consensus) highest = std::max(highest, each->consensus->current_term());
    return highest;
}

std::string CoreMachines::describe() const {
    std::ostringstream text;
    for (const auto& each : machines_) {
        if (!each->consensus) {
            text << "[" << (each->up ? "no disk" : "down") << "] ";
            continue;
        }
        const PersistentState& state = each->consensus->persistent_state();
        text << "[term " << state.voting_state.term << " voted for " << state.voting_state.voted_for
             << " no vote through term " << state.voting_state.no_vote_through << " entry "
             << state.entry.position.term << "." << state.entry.position.index << " members "
             << state.entry.members.size() << (state.voting_state.is_member ? "" : " non-member")
             << " leader " << each->consensus->leader() << "] ";
    }
    return text.str();
}

}  // namespace gannethold::cluster::simulation
