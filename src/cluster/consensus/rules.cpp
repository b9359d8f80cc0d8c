#include "cluster/consensus/rules.hpp"

#include <utility>

namespace gannethold::cluster {
namespace {

// Entries that a learner may lack when it becomes a voter. With 0, it might never be promoted while the
// configuration changes frequently.
constexpr LogIndex kMaxLearnerLag = 2;

}  // namespace

const ConsensusRules& ConsensusRules::standard() {
    static const ConsensusRules kStandard;
    return kStandard;
}

bool ConsensusRules::needs_outgoing_majority(const LogEntry& entry) const {
    return !entry.outgoing_members.empty();
}

LogEntry ConsensusRules::begin_membership_change(const LogEntry& head,
                                                 std::vector<std::string> members) const {
    LogEntry joint = head;
    joint.outgoing_members = std::exchange(joint.members, std::move(members));
    return joint;
}

bool ConsensusRules::has_caught_up(const LearnerProgress& learner, const LogPosition& head) const {
    const LogPosition& match = learner.match_position;
    return learner.responds && match.term == head.term && match.index + kMaxLearnerLag >= head.index;
}

bool ConsensusRules::is_transfer_due(const EntrySender& sender, Micros) const { return !sender.is_active(); }

LogPosition ConsensusRules::transfer_base(const LogPosition& known) const { return known; }

std::vector<EntryChunk> ConsensusRules::first_chunks(EntrySender& sender, Term term, Round round,
                                                     Micros now) const {
    return {sender.chunk(term, round, now)};
}

}  // namespace gannethold::cluster
