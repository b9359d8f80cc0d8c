// Quorums under joint consensus: while membership changes, a decision needs a majority of the voters before
// the change and a majority of those after it (Raft, section 6).
#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "cluster/wire/messages.hpp"

namespace gannethold::cluster {

inline std::size_t majority_of(const std::vector<std::string>& group) { return group.size() / 2 + 1; }

inline bool contains(const std::vector<std::string>& group, const std::string& member) {
    return std::find(group.begin(), group.end(), member) != group.end();
}

// Whether those of the group for which agrees(member) is true are a majority of it.
template <class Agrees>
bool has_majority(const std::vector<std::string>& group, const Agrees& agrees) {
    const auto count = static_cast<std::size_t>(std::count_if(group.begin(), group.end(), agrees));
    return count >= majority_of(group);
}

// Whether they are a quorum of the voters. outgoing: the voters before a change under way; else empty.
template <class Agrees>
bool has_quorum(const std::vector<std::string>& members, const std::vector<std::string>& outgoing,
                const Agrees& agrees) {
    return has_majority(members, agrees) && (outgoing.empty() || has_majority(outgoing, agrees));
}

// Whether it is a voter of that entry, before or after the change.
inline bool is_voter(const LogEntry& entry, const std::string& member) {
    return contains(entry.members, member) || contains(entry.outgoing_members, member);
}

// All voters of that entry, each once.
std::vector<std::string> all_voters(const LogEntry& entry);

}  // namespace gannethold::cluster
