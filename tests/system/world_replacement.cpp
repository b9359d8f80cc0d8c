// Cores that leave, go for good and have successors at new addresses.
#include <algorithm>

#include "world_parts.hpp"

namespace gannethold::cluster::played {
namespace {

constexpr Micros kGrace = 6'000'000;       // between the request to end and the end, at most
constexpr Micros kRestartAfter = 300'000;  // a planned restart's time without a process

}  // namespace

std::size_t World::add_successor(std::size_t i) {
    const auto seed = std::find(seeds_.begin(), seeds_.end(), cores_[i]->name);
    const std::string address = "10.0.0." + std::to_string(cores_.size() + 1) + ":80";
    if (seed != seeds_.end()) *seed = address;
    for (const auto& core : cores_)
        if (core->consensus) core->consensus->set_seeds(seeds_);
    return add_core();
}

void World::retire_core(std::size_t i) {
    kill_core(i, true);
    cores_[i]->retired = true;
}

void World::end_core(std::size_t i, bool for_good) {
    Core& core = *cores_[i];
    if (!core.up || core.ends_by > 0) return;
    core.ends_by = now_ + kGrace;
    core.restarts = !for_good;
    leave_core(i);
}

void World::end_if_it_may(Core& core) {
    const bool may_end = core.consensus && core.consensus->may_stop();
    if (!may_end && now_ < core.ends_by) return;
    if (!may_end) ++ends_after_grace;
    const std::size_t i = index_of(core);
    core.ends_by = 0;
    if (!core.restarts) return retire_core(i);
    kill_core(i);
    at(now_ + kRestartAfter, [this, i] { start_core(i); });
}

}  // namespace gannethold::cluster::played
