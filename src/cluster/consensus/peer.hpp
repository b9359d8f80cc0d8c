// State that a member keeps about another member.
#pragma once

#include "cluster/consensus/entry_transfer.hpp"
#include "cluster/wire/messages.hpp"
#include "types.hpp"

namespace gannethold::cluster {

// Times are those of this member's steady clock; 0: never. Fields other than last_contact are used by a
// leader only, and are reset for each term.
struct Peer {
    Micros last_contact = 0;     // when the last message from the peer arrived
    Micros last_response = 0;    // when the last heartbeat response arrived
    Round answered_round = 0;    // the newest heartbeat round that the peer answered; 0: none
    LogPosition match_position;  // the newest entry known to be on the peer's disk (Raft's matchIndex)
    EntrySender sender;

    // Resets the replication state, for a new term or when the peer joins as a learner.
    void reset_progress() {
        answered_round = 0;
        match_position = {};
        sender.stop();
    }
};

}  // namespace gannethold::cluster
