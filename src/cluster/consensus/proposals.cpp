// Handling of proposed configurations by the leader.
#include <optional>
#include <utility>

#include "cluster/configuration/digest.hpp"
#include "cluster/consensus/consensus.hpp"

namespace gannethold::cluster {

ConsensusOutput Consensus::propose(Micros now, Proposal proposal) {
    now_ = now;
    if (!has_lease(now) || leave_.has_begun()) {
        report({{proposal.id, ProposalOutcome::unknown}});
        return take_output();
    }
    const Digest digest = configuration_digest(proposal.body);
    if (const auto outcome = decided_outcome(committed_entry_, proposal.version, digest)) {
        report({{proposal.id, *outcome}});
        return take_output();
    }
    proposals_.add(std::move(proposal), digest);
    append_next_change();
    return take_output();
}

// Begins the next change, unless the previous one is not committed yet: only one change is in progress.
void Consensus::append_next_change() {
    const LogPosition& committed = committed_entry_.position;
    const bool is_idle = committed == state_.entry.position && committed.term == current_term();
    if (role_ != Role::leader || leadership_transferred_ || !is_idle) return;
    if (!append_proposals()) append_membership_change();
}

// Returns whether an entry was appended.
bool Consensus::append_proposals() {
    if (proposals_.empty()) return false;
    if (std::optional<LogEntry> next = proposals_.next_entry(state_.entry)) {
        append(std::move(*next));
        return true;
    }
    report(proposals_.take_decided(committed_entry_));
    return false;
}

void Consensus::report(const std::vector<ProposalResult>& results) {
    output_.proposal_results.insert(output_.proposal_results.end(), results.begin(), results.end());
}

}  // namespace gannethold::cluster
