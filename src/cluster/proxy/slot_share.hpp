// Which of a runner's slots are this proxy's own while no coordinator grants them.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <string>

#include "cluster/wire/messages.hpp"

namespace gannethold::cluster {

/// The shares of all proxies add up to the runner's slots, so that together they keep its limit. Which
/// proxies get the slots that are left over differs from runner to runner.
struct SlotShare {
    std::uint32_t rank = 0;     ///< of this proxy among all, from 0
    std::uint32_t proxies = 1;  ///< how many there are; at least 1

    std::uint32_t of(const RunnerInfo& runner) const {
        const auto shift = static_cast<std::uint32_t>(std::hash<std::string>()(runner.runner) % proxies);
        return (runner.slots + proxies - 1 - (rank + shift) % proxies) / proxies;
    }
};

}  // namespace gannethold::cluster
