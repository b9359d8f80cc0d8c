#include "cluster/consensus/quorum.hpp"

namespace gannethold::cluster {

std::vector<std::string> all_voters(const LogEntry& entry) {
    std::vector<std::string> all = entry.members;
    for (const std::string& member : entry.outgoing_members)
        if (!contains(all, member)) all.push_back(member);
    return all;
}

}  // namespace gannethold::cluster
