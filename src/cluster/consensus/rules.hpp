// Decisions that determine the safety of the core and the load on its links, separated from the state machine
// that uses them. They are virtual functions, so that a test can replace one with a faulty implementation and
// show that its checks detect the fault. The programs only use standard().
#pragma once

#include <string>
#include <vector>

#include "cluster/consensus/entry_transfer.hpp"
#include "cluster/wire/messages.hpp"
#include "types.hpp"

namespace gannethold::cluster {

// The leader's view of a learner.
struct LearnerProgress {
    bool responds = false;       // answered a heartbeat within the last election timeout
    LogPosition match_position;  // the newest entry known to be on its disk
};

// Stateless and thread-safe; any number of members may share one object, which must outlive them.
class ConsensusRules {
  public:
    ConsensusRules() = default;
    ConsensusRules(const ConsensusRules&) = delete;
    ConsensusRules& operator=(const ConsensusRules&) = delete;
    virtual ~ConsensusRules() = default;

    static const ConsensusRules& standard();

    // Whether decisions under the entry also need a majority of its outgoing members, as in joint consensus
    // (Raft, section 6).
    virtual bool needs_outgoing_majority(const LogEntry& entry) const;

    // Returns the entry that begins a change from the head's members to the given ones (Raft, section 6).
    // REQUIRES: no change is in progress in the head.
    virtual LogEntry begin_membership_change(const LogEntry& head, std::vector<std::string> members) const;

    // Whether the learner can become a voter without delaying commits (Ongaro's thesis, section 4.2.1).
    virtual bool has_caught_up(const LearnerProgress& learner, const LogPosition& head) const;

    // Whether to start a transfer with the next heartbeat to a member that lacks the head.
    virtual bool is_transfer_due(const EntrySender& sender, Micros now) const;

    // The entry to which the payload of a transfer is a delta; {}: the payload is complete. `known` is the
    // newest entry known to be at the member.
    virtual LogPosition transfer_base(const LogPosition& known) const;

    // The chunks to send at the start of a transfer. REQUIRES: sender.is_active().
    virtual std::vector<EntryChunk> first_chunks(EntrySender& sender, Term term, Round round,
                                                 Micros now) const;
};

}  // namespace gannethold::cluster
