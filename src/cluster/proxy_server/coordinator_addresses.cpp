#include "cluster/proxy_server/coordinator_addresses.hpp"

#include <algorithm>
#include <utility>

namespace gannethold::cluster {

std::optional<std::string> CoordinatorAddresses::take_next() {
    if (!redirect_.empty()) return std::exchange(redirect_, {});
    std::vector<std::string> all = members_;
    for (const std::string& seed : seeds_)
        if (std::find(all.begin(), all.end(), seed) == all.end()) all.push_back(seed);
    if (all.empty()) return std::nullopt;
    return all[next_++ % all.size()];
}

}  // namespace gannethold::cluster
