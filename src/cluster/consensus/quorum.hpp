// Quorums under joint consensus: during a membership change, a decision needs a majority of the outgoing
// voters and a majority of the incoming ones (Raft, section 6).
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

// Whether agrees(member) is true for a majority of the group.
template <class Agrees>
bool has_majority(const std::vector<std::string>& group, const Agrees& agrees) {
    const auto count = static_cast<std::size_t>(std::count_if(group.begin(), group.end(), agrees));
    return count >= majority_of(group);
}

// Whether agrees(member) is true for a quorum. `outgoing` has the voters before the change in progress; it is
// empty if there is none.
template <class Agrees>
bool has_quorum(const std::vector<std::string>& members, const std::vector<std::string>& outgoing,
                const Agrees& agrees) {
    return has_majority(members, agrees) && (outgoing.empty() || has_majority(outgoing, agrees));
}

// Whether the member is a voter of the entry, before or after the membership change.
inline bool is_voter(const LogEntry& entry, const std::string& member) {
    return contains(entry.members, member) || contains(entry.outgoing_members, member);
}

// All voters of the entry, before and after the membership change, without duplicates.
std::vector<std::string> all_voters(const LogEntry& entry);

}  // namespace gannethold::cluster
