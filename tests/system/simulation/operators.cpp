#include "operators.hpp"

namespace gannethold::cluster::simulation {

Operators::Operators(Environment& environment, CoreMachines& cores, InvariantChecker& checker,
                     const ConfigurationTemplate& configuration)
    : environment_(environment), cores_(cores), checker_(checker), configuration_(configuration) {}

std::optional<std::size_t> Operators::serving_core(std::size_t core) const {
    if (!cores_.is_responsive(core)) return {};
    if (cores_.is_leading(core)) return core;
    const std::string& named = cores_.at(core).consensus->leader();
    for (std::size_t other = 0; other < cores_.size(); ++other)
        if (other != core && cores_.at(other).address == named && cores_.is_leading(other)) return other;
    return {};
}

void Operators::put(Number version, std::size_t core, const std::string& mark) {
    const std::optional<std::size_t> server = serving_core(core);
    if (!server) return;
    const Number ticket = ++last_ticket_;
    std::string body = configuration_.body(version, mark);
    const Proposal proposal{version, *server, hash_of(body), environment_.now()};
    checker_.on_proposed(proposal);
    const LogEntry* const committed = cores_.at(*server).consensus->committed_entry();
    if (environment_.has_fault(PlantedFault::unchecked_body) && committed && version <= committed->version) {
        acknowledge(proposal);
        return;
    }
    pending_[ticket] = proposal;
    cores_.propose(*server, ticket, version, std::move(body));
}

void Operators::on_proposal_result(std::size_t core, const ProposalResult& result) {
    const auto ticket = pending_.find(result.id);
    if (ticket == pending_.end()) return;
    Proposal proposal = ticket->second;
    proposal.core = core;
    pending_.erase(ticket);
    if (result.outcome == ProposalOutcome::committed) acknowledge(proposal);
    if (result.outcome == ProposalOutcome::conflict) {
        ++counts_.conflicts;
        checker_.on_rejected(proposal);
    }
}

void Operators::acknowledge(const Proposal& proposal) {
    ++counts_.acknowledged;
    checker_.on_acknowledged(proposal);
}

const LogEntry* Operators::readable_entry(std::size_t core, bool without_lease) const {
    if (!cores_.is_responsive(core)) return nullptr;
    if (!without_lease && !cores_.is_leading(core)) return nullptr;
    return cores_.at(core).consensus->committed_entry();
}

void Operators::read(std::size_t core) {
    const bool without_lease = environment_.has_fault(PlantedFault::read_without_lease);
    const std::optional<std::size_t> server = without_lease ? core : serving_core(core);
    const LogEntry* const entry = server ? readable_entry(*server, without_lease) : nullptr;
    if (!entry || entry->version == 0) return;
    ++counts_.reads;
    checker_.on_read(*server, *entry);
}

void Operators::register_proxy(std::size_t core) {
    const bool without_lease = environment_.has_fault(PlantedFault::configure_without_lease);
    const LogEntry* const entry = readable_entry(core, without_lease);
    if (!entry || entry->version == 0) return;
    ++counts_.registrations;
    checker_.on_registered(core, *entry);
}

}  // namespace gannethold::cluster::simulation
