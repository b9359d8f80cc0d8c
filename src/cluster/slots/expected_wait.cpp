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

// The time in microseconds until the free slots of a runner can be used.
double time_until_usable(Micros now, const RunnerSlots& runner, const Function& function) {
    if (runner.state == RunnerState::starting) {
        const Micros boot = function.service ? function.service->boot_duration : kDefaultBoot;
        return std::max(kMinRemainingBootUs, static_cast<double>(runner.started_at + boot - now));
    }
    if (now < runner.ejected_until) return static_cast<double>(runner.ejected_until - now);
    return 0;
}

// The time in microseconds until each slot of the function becomes free, in no particular order.
std::vector<double> slot_free_times(Micros now, const Function& function, const WorkDurations& durations) {
    std::vector<double> free_in;
    for (const RunnerSlots* const runner : function.runners) {
        if (runner->draining) continue;
        for (const RunnerSlots::Grant& grant : runner->grants)
            free_in.push_back(
                std::max(durations.expected_us(grant.request_class) - static_cast<double>(now - grant.since),
                         kMinRemainingWorkUs));
        const double usable = time_until_usable(now, *runner, function);
        for (std::uint32_t slot = runner->outstanding(); slot < runner->info.slots; ++slot)
            free_in.push_back(usable);
    }
    return free_in;
}

}  // namespace

double expected_wait(Micros now, const Function& function, const WorkDurations& durations) {
    std::vector<double> free_in = slot_free_times(now, function, durations);
    if (free_in.empty()) return kNeverUs;
    // Each waiting request takes the slot that becomes free first.
    const auto later = std::greater<>();
    std::make_heap(free_in.begin(), free_in.end(), later);
    double last = free_in.front();
    for (const auto& [ticket, waiting] : function.waiting.all()) {
        std::pop_heap(free_in.begin(), free_in.end(), later);
        last = free_in.back();
        free_in.back() += static_cast<double>(waiting.work);
        std::push_heap(free_in.begin(), free_in.end(), later);
    }
    return last;
}

}  // namespace gannethold::cluster
