#include "cluster/slots/expected_wait.hpp"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <vector>

namespace gannethold::cluster {
namespace {

constexpr double kNeverUs = 1e12;
constexpr double kMinRemainingWorkUs = 20'000;  // assumed for work that exceeds its expected duration
constexpr double kMinRemainingBootUs = 50'000;  // assumed for a start that exceeds its expected duration
constexpr Micros kDefaultBoot = 1'000'000;      // for a function that is no longer configured

// The time until the free slots of a runner can be used.
double time_until_usable_us(Micros now, const RunnerSlots& runner, const Function& function) {
    if (runner.state == RunnerState::starting) {
        const Micros boot = function.service ? function.service->boot_duration : kDefaultBoot;
        return std::max(kMinRemainingBootUs, static_cast<double>(runner.started_at + boot - now));
    }
    if (now < runner.ejected_until) return static_cast<double>(runner.ejected_until - now);
    return 0;
}

// The time until each slot of the function becomes free, in no particular order.
std::vector<double> slot_free_times_us(Micros now, const Function& function, const WorkDurations& durations) {
    std::vector<double> free_in_us;
    for (const RunnerSlots* const runner : function.runners) {
        if (runner->draining) continue;
        for (const RunnerSlots::Grant& grant : runner->grants)
            free_in_us.push_back(
                std::max(durations.expected_us(grant.request_class) - static_cast<double>(now - grant.since),
                         kMinRemainingWorkUs));
        const double usable_us = time_until_usable_us(now, *runner, function);
        for (std::uint32_t slot = runner->outstanding(); slot < runner->info.slots; ++slot)
            free_in_us.push_back(usable_us);
    }
    return free_in_us;
}

}  // namespace

double expected_wait_us(Micros now, const Function& function, const WorkDurations& durations) {
    std::vector<double> free_in_us = slot_free_times_us(now, function, durations);
    if (free_in_us.empty()) return kNeverUs;
    // Each waiting request takes the slot that becomes free first.
    const auto later = std::greater<>();
    std::make_heap(free_in_us.begin(), free_in_us.end(), later);
    double wait_us = free_in_us.front();
    for (const auto& [ticket, waiting] : function.waiting.all()) {
        std::pop_heap(free_in_us.begin(), free_in_us.end(), later);
        wait_us = free_in_us.back();
        free_in_us.back() += static_cast<double>(waiting.work);
        std::push_heap(free_in_us.begin(), free_in_us.end(), later);
    }
    return wait_us;
}

}  // namespace gannethold::cluster
