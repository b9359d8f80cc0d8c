#include "cluster/slots/function.hpp"

#include <algorithm>

namespace gannethold::cluster {
namespace {

constexpr Micros kMinObservation = 3'000'000;  // of traffic before its load counts as known
constexpr Micros kMaxPause = 5'000'000;    // without requests; after a longer pause observation starts over
constexpr Micros kIdleAfter = 20'000'000;  // without requests

}  // namespace

void Function::on_request(Micros now) {
    if (now > last_used + kMaxPause) {
        used_since = now;
        load.restart_demand();
    }
    last_used = now;
}

bool Function::is_observed(Micros now) const {
    return now >= used_since + kMinObservation && now < last_used + kMaxPause;
}

void Function::assume_observed(Micros now) {
    used_since = std::min(used_since, now - kMinObservation);
    last_used = now;
}

bool Function::is_idle(Micros now) const {
    return runners.empty() && waiting.empty() && now > last_used + kIdleAfter && !needs_runner;
}

double Function::total_slots() const {
    double slots = 0;
    for (const RunnerSlots* const runner : runners)
        if (!runner->draining) slots += runner->info.slots;
    return slots;
}

double Function::outstanding() const {
    double total = 0;
    for (const RunnerSlots* const runner : runners) total += runner->outstanding();
    return total;
}

WaitReason Function::wait_reason() const {
    const bool has_ready = std::any_of(runners.begin(), runners.end(), [](const RunnerSlots* runner) {
        return runner->state == RunnerState::ready && !runner->draining;
    });
    if (has_ready) return WaitReason::slot;
    return no_worker_has_room ? WaitReason::memory : WaitReason::start;
}

RunnerSlots* Function::pick_runner(Micros now, RunnerSlots* drawn, const std::string& zone) const {
    if (drawn && drawn->function == this && drawn->is_available(now)) return drawn;
    const auto rank = [&](const RunnerSlots& runner) {
        return (runner.info.zone == zone ? 2.0 : 0.0) -
               static_cast<double>(runner.outstanding()) / runner.info.slots;
    };
    RunnerSlots* best = nullptr;
    for (RunnerSlots* const runner : runners)
        if (runner->is_available(now) && (!best || rank(*runner) > rank(*best))) best = runner;
    return best;
}

}  // namespace gannethold::cluster
