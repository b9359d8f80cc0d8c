#include "cluster/consensus/proposal_queue.hpp"

#include <utility>

#include "cluster/consensus/confirmed_versions.hpp"

namespace gannethold::cluster {

std::optional<ProposalOutcome> decided_outcome(const LogEntry& committed, ConfigurationVersion version,
                                               Digest digest) {
    if (const ConfirmedVersion* const record = find_confirmed(committed.confirmed, version))
        return record->digest == digest ? ProposalOutcome::committed : ProposalOutcome::conflict;
    if (version <= committed.version && may_have_dropped_records(committed.confirmed))
        return ProposalOutcome::unknown;
    return std::nullopt;
}

void ProposalQueue::add(Proposal proposal, Digest digest) {
    pending_.push_back({std::move(proposal), digest, 0});
}

std::optional<LogEntry> ProposalQueue::next_entry(const LogEntry& head) {
    LogEntry next = head;
    const LogIndex index = head.position.index + 1;
    bool changed = false;
    for (Pending& pending : pending_) {
        const Proposal& proposal = pending.proposal;
        pending.index = index;
        if (find_confirmed(next.confirmed, proposal.version)) continue;
        add_confirmed(next.confirmed, {proposal.version, pending.digest, index});
        changed = true;
        if (proposal.version <= next.version) continue;
        next.version = proposal.version;
        next.body = proposal.body;
    }
    if (changed) return next;
    for (Pending& pending : pending_) pending.index = head.position.index;
    return std::nullopt;
}

std::vector<ProposalResult> ProposalQueue::take_decided(const LogEntry& committed) {
    std::vector<ProposalResult> results;
    std::vector<Pending> undecided;
    for (Pending& pending : std::exchange(pending_, {})) {
        if (pending.index == 0 || pending.index > committed.position.index) {
            undecided.push_back(std::move(pending));
            continue;
        }
        const Proposal& proposal = pending.proposal;
        const ConfirmedVersion* const record = find_confirmed(committed.confirmed, proposal.version);
        ProposalOutcome outcome = ProposalOutcome::unknown;
        if (record)
            outcome =
                record->digest == pending.digest ? ProposalOutcome::committed : ProposalOutcome::conflict;
        results.push_back({proposal.id, outcome});
    }
    pending_ = std::move(undecided);
    return results;
}

std::vector<ProposalResult> ProposalQueue::abandon() {
    std::vector<ProposalResult> results;
    for (const Pending& pending : std::exchange(pending_, {}))
        results.push_back({pending.proposal.id, ProposalOutcome::unknown});
    return results;
}

}  // namespace gannethold::cluster
