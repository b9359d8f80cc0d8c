// The share of each runner's slots that a proxy may use while no coordinator grants slots.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <string>

#include "cluster/wire/messages.hpp"

namespace gannethold::cluster {

/// Divides the slots of a runner among the proxies. The shares of all proxies add up to the runner's slots,
/// so that the proxies together respect its limit. The remainder of the division goes to different proxies
/// for different runners.
struct SlotShare {
    std::uint32_t rank = 0;         ///< of this proxy among all proxies, from 0
    std::uint32_t proxy_count = 1;  ///< at least 1

    /// Returns the number of the runner's slots that this proxy may use.
    std::uint32_t slots_of(const RunnerInfo& runner) const {
        const auto shift =
            static_cast<std::uint32_t>(std::hash<std::string>()(runner.runner_id) % proxy_count);
        return (runner.slots + proxy_count - 1 - (rank + shift) % proxy_count) / proxy_count;
    }
};

}  // namespace gannethold::cluster
