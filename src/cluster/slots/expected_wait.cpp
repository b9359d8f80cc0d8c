#include "cluster/slots/expected_wait.hpp"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <vector>

namespace gannethold::cluster {
namespace {

constexpr double kNever = 1e12;               // microseconds
constexpr double kMinRemainingWork = 20'000;  // of work that takes longer than usual
constexpr double kMinRemainingBoot = 50'000;  // of a start that takes longer than usual
constexpr Micros kUnknownBoot = 1'000'000;    // of a function that is in no configuration any more

// When the free slots of a runner can be used, in microseconds from now.
double usable_in(Micros now, const RunnerSlots& runner, const Function& function) {
    if (runner.state == RunnerState::starting) {
        const Micros boot = function.service ? function.service->boot_duration : kUnknownBoot;
        return std::max(kMinRemainingBoot, static_cast<double>(runner.started_at + boot - now));
    }
    if (now < runner.ejected_until) return static_cast<double>(runner.ejected_until - now);
    return 0;
}

// When each slot of the function comes free, by what is at work there.
std::vector<double> slots_free_in(Micros now, const Function& function, const WorkDurations& durations) {
    std::vector<double> free_in;
    for (const RunnerSlots* const runner : function.runners) {
        if (runner->draining) continue;
        for (const RunnerSlots::Grant& grant : runner->grants)
            free_in.push_back(std::max(durations.usual(grant.shape) - static_cast<double>(now - grant.since),
                                       kMinRemainingWork));
        const double usable = usable_in(now, *runner, function);
        for (std::uint32_t slot = runner->outstanding(); slot < runner->info.slots; ++slot)
            free_in.push_back(usable);
    }
    return free_in;
}

}  // namespace

double expected_wait(Micros now, const Function& function, const WorkDurations& durations) {
    std::vector<double> free_in = slots_free_in(now, function, durations);
    if (free_in.empty()) return kNever;
    // Those that wait take the slots one after the other.
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
