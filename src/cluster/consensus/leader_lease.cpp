#include "cluster/consensus/leader_lease.hpp"

#include <algorithm>
#include <functional>

namespace gannethold::cluster {
namespace {

// Rounds whose responses still count; far more than are sent within a lease.
constexpr std::size_t kMaxRounds = 64;

}  // namespace

Round LeaderLease::begin_round(Micros now) {
    sent_at_[++newest_round_] = now;
    while (sent_at_.size() > kMaxRounds) sent_at_.erase(sent_at_.begin());
    return newest_round_;
}

Micros LeaderLease::granted_at(std::vector<Round> answered) const {
    if (answered.empty()) return 0;
    std::sort(answered.begin(), answered.end(), std::greater<>());
    const auto sent = sent_at_.find(answered[answered.size() / 2]);
    return sent == sent_at_.end() ? 0 : sent->second;
}

}  // namespace gannethold::cluster
