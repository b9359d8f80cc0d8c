// Decisions on which the safety of the core and the load on its links depend, separate from the state machine
// that uses them. Each is a virtual function, so that a test can replace it by a faulty one and show that its
// checks detect the fault. The programs use standard() only.
#pragma once

#include <string>
#include <vector>

#include "cluster/consensus/entry_transfer.hpp"
#include "cluster/wire/messages.hpp"
#include "types.hpp"

namespace gannethold::cluster {

// What a leader knows of a learner.
struct LearnerProgress {
    bool responds = false;       // it answered a heartbeat within the last election timeout
    LogPosition match_position;  // the newest entry that it is known to have on disk
};

// Thread safety: no state; any number of members may share one object, which outlives them.
class ConsensusRules {
  public:
    ConsensusRules() = default;
    ConsensusRules(const ConsensusRules&) = delete;
    ConsensusRules& operator=(const ConsensusRules&) = delete;
    virtual ~ConsensusRules() = default;

    static const ConsensusRules& standard();

    // Whether decisions under this entry need a majority of its outgoing members as well: joint consensus
    // (Raft, section 6).
    virtual bool needs_outgoing_majority(const LogEntry& entry) const;

    // The content of the entry that begins a change from the head's members to those (Raft, section 6). The
    // head is not part of another change.
    virtual LogEntry begin_membership_change(const LogEntry& head, std::vector<std::string> members) const;

    // Whether a learner can become a voter without delaying commits (Ongaro's thesis, section 4.2.1).
    virtual bool has_caught_up(const LearnerProgress& learner, const LogPosition& head) const;

    // Whether a transfer is to be started, with the next heartbeat, to a member that lacks the head.
    virtual bool is_transfer_due(const EntrySender& sender, Micros now) const;

    // The entry to which the payload of a transfer is a difference; {}: a complete payload.
    virtual LogPosition transfer_base(const LogPosition& known) const;

    // What is sent at the start of a transfer. REQUIRES: sender.active().
    virtual std::vector<EntryChunk> first_chunks(EntrySender& sender, Term term, Round round,
                                                 Micros now) const;
};

}  // namespace gannethold::cluster
