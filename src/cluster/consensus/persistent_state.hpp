// What a member of the core keeps on disk (Raft, figure 2: persistent state).
#pragma once

#include "cluster/wire/messages.hpp"

namespace gannethold::cluster {

// On disk before any message that follows from it is sent.
struct PersistentState {
    Promise promise;
    // The newest entry of the log. Each entry holds the complete replicated state, so earlier ones are not
    // kept.
    LogEntry entry;
};

}  // namespace gannethold::cluster
