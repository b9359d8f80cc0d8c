// Configurations that operators send: one body a number, ever.
#include <utility>

#include "cluster/configuration/digest.hpp"
#include "cluster/consensus/confirmed_versions.hpp"
#include "cluster/consensus/consensus.hpp"

namespace gannethold::cluster {

void Consensus::propose(Micros now, Number ticket, Number version, std::string body, Output& out) {
    now_ = now;
    if (!leads(now) || leaving_) {
        out.results.push_back({ticket, ProposalOutcome::unknown});
        return;
    }
    const Number digest = configuration_digest(body);
    if (const ConfirmedVersion* const known = find_confirmed(committed_.confirmed, version)) {
        const bool same = known->digest == digest;
        out.results.push_back({ticket, same ? ProposalOutcome::committed : ProposalOutcome::conflict});
        return;
    }
    if (version <= committed_.version && may_be_forgotten(committed_.confirmed)) {
        out.results.push_back({ticket, ProposalOutcome::unknown});
        return;
    }
    pending_.push_back({ticket, version, digest, std::move(body), 0});
    append_next_change(out);
}

// One change at a time: the next begins once the one before is committed.
void Consensus::append_next_change(Output& out) {
    const bool idle = committed_.position == state_.entry.position && committed_.position.term == term();
    if (role_ != Role::leader || resigned_ || !idle) return;
    if (append_proposals(out)) return;
    append_membership_change(out);
}

// All that came meanwhile goes into one entry: of each number the first body, and of those the highest number
// is in force.
bool Consensus::append_proposals(Output& out) {
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
        append(std::move(next), out);
        return true;
    }
    for (PendingProposal& proposal : pending_) proposal.index = state_.entry.position.index;
    resolve_proposals(out);
    return false;
}

// Answers those that the committed entry has decided.
void Consensus::resolve_proposals(Output& out) {
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
        out.results.push_back({proposal.ticket, outcome});
    }
    pending_ = std::move(undecided);
}

void Consensus::fail_proposals(Output& out) {
    for (const PendingProposal& proposal : std::exchange(pending_, {}))
        out.results.push_back({proposal.ticket, ProposalOutcome::unknown});
}

}  // namespace gannethold::cluster
