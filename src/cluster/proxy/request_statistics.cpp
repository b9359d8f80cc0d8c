#include "cluster/proxy/request_statistics.hpp"

namespace gannethold::cluster {

const char* name_of(ValueLoss::Cause cause) {
    static constexpr std::array<const char*, ValueLoss::kCauseCount> kNames{
        "cold_start", "slot", "memory", "keeper_away", "runner_lost", "work", "budget", "route"};
    return kNames[static_cast<std::size_t>(cause)];
}

const char* name_of(ValueLoss::Outcome outcome) {
    static constexpr std::array<const char*, ValueLoss::kOutcomeCount> kNames{"late", "refused", "failed"};
    return kNames[static_cast<std::size_t>(outcome)];
}

void RequestStatistics::record(const ValueLoss& loss) {
    ++loss_counts_[static_cast<std::size_t>(loss.cause)][static_cast<std::size_t>(loss.outcome)];
    if (new_losses_.size() < kMaxEntries) new_losses_.push_back(loss);
}

}  // namespace gannethold::cluster
