// The state that a core member keeps on disk (Raft, figure 2: persistent state).
#pragma once

#include "cluster/wire/messages.hpp"

namespace gannethold::cluster {

// Must be on disk before any message that depends on it is sent.
struct PersistentState {
    VotingState voting_state;
    // The newest log entry. Each entry holds the complete replicated state, so earlier entries are not kept.
    LogEntry entry;
};

}  // namespace gannethold::cluster
