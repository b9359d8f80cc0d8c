// What a member knows of another one.
#pragma once

#include "cluster/consensus/entry_transfer.hpp"
#include "cluster/wire/messages.hpp"
#include "types.hpp"

namespace gannethold::cluster {

// Times are of the own steady clock; 0: never. All but last_contact is used by a leader only, and is
// reset for each term.
struct Peer {
    Micros last_contact = 0;     // when any message came from it
    Micros last_response = 0;    // when it answered a heartbeat
    Round answered_round = 0;    // the newest heartbeat round that it answered; 0: none
    LogPosition match_position;  // the newest entry known to be on its disk (Raft's matchIndex)
    EntrySender sender;

    // Forgets what is known of its log.
    void reset_progress() {
        answered_round = 0;
        match_position = {};
        sender.stop();
    }
};

}  // namespace gannethold::cluster
