// Configurations that operators send: one body a number, ever.
#include <utility>

#include "cluster/configuration/digest.hpp"
#include "cluster/consensus/confirmed_versions.hpp"
#include "cluster/consensus/consensus.hpp"

namespace gannethold::cluster {

ConsensusOutput Consensus::propose(Micros now, Number ticket, Number version, std::string body) {
    now_ = now;
    if (!has_lease(now) || leaving_) {
        output_.proposal_results.push_back({ticket, ProposalOutcome::unknown});
        return take_output();
    }
    const Number digest = configuration_digest(body);
    if (const ConfirmedVersion* const known = find_confirmed(committed_.confirmed, version)) {
        const bool same = known->digest == digest;
        output_.proposal_results.push_back(
            {ticket, same ? ProposalOutcome::committed : ProposalOutcome::conflict});
        return take_output();
    }
    if (version <= committed_.version && may_be_forgotten(committed_.confirmed)) {
        output_.proposal_results.push_back({ticket, ProposalOutcome::unknown});
        return take_output();
    }
    pending_.push_back({ticket, version, digest, std::move(body), 0});
    append_next_change();
    return take_output();
}

// One change at a time: the next begins once the one before is committed.
void Consensus::append_next_change() {
    const bool idle =
        committed_.position == state_.entry.position && committed_.position.term == current_term();
    if (role_ != Role::leader || resigned_ || !idle) return;
    if (append_proposals()) return;
    append_membership_change();
}

// All that came meanwhile goes into one entry: of each number the first body, and of those the highest number
// is in force.
bool Consensus::append_proposals() {
    if (pending_.empty()) return false;
    LogEntry next = state_.entry;
    const Number index = next.position.index + 1;
    bool changed = false;
    for (PendingProposal& proposal : pending_) {
        proposal.index = index;
        if (find_confirmed(next.confirmed, proposal.version)) continue;
        add_confirmed(next.confirmed, {proposal.version, proposal.digest, index});
        changed = true;
        if (proposal.version <= next.version) continue;
        next.version = proposal.version;
        next.body = proposal.body;
    }
    if (changed) {
        append(std::move(next));
        return true;
    }
    for (PendingProposal& proposal : pending_) proposal.index = state_.entry.position.index;
    resolve_proposals();
    return false;
}

// Answers those that the committed entry has decided.
void Consensus::resolve_proposals() {
    std::vector<PendingProposal> undecided;
    for (PendingProposal& proposal : std::exchange(pending_, {})) {
        if (proposal.index == 0 || proposal.index > committed_.position.index) {
            undecided.push_back(std::move(proposal));
            continue;
        }
        const ConfirmedVersion* const record = find_confirmed(committed_.confirmed, proposal.version);
        const bool same = record && record->digest == proposal.digest;
        ProposalOutcome outcome = same ? ProposalOutcome::committed : ProposalOutcome::conflict;
        if (!record) outcome = ProposalOutcome::unknown;
        output_.proposal_results.push_back({proposal.ticket, outcome});
    }
    pending_ = std::move(undecided);
}

void Consensus::fail_proposals() {
    for (const PendingProposal& proposal : std::exchange(pending_, {}))
        output_.proposal_results.push_back({proposal.ticket, ProposalOutcome::unknown});
}

}  // namespace gannethold::cluster
