// What a member knows of another one.
#pragma once

#include "cluster/consensus/entry_transfer.hpp"
#include "cluster/wire/messages.hpp"
#include "types.hpp"

namespace gannethold::cluster {

// Times are of the own steady clock; 0: never. Apart from last_contact all of it is the leader's and counts
// within its term.
struct Peer {
    Micros last_contact = 0;     // when any message came from it
    Micros last_response = 0;    // when it answered a heartbeat
    Round answered_round = 0;    // the newest heartbeat round that it answered; 0: none
    LogPosition match_position;  // the newest entry known to be on its disk (Raft's matchIndex)
    EntrySender sender;

    // Nothing is known of what it holds.
    void reset_progress() {
        answered_round = 0;
        match_position = {};
        sender.stop();
    }
};

}  // namespace gannethold::cluster
