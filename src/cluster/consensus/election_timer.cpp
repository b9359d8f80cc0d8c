#include "cluster/consensus/election_timer.hpp"

namespace gannethold::cluster {
namespace {

constexpr Micros kEagerInterval = 40'000;

}  // namespace

ElectionTimer::ElectionTimer(Micros election_timeout, std::uint64_t random_seed)
    : election_timeout_(election_timeout), spread_(election_timeout * 2 / 3), random_(random_seed * 2 + 1) {}

void ElectionTimer::restart(Micros now) {
    due_at_ = now + election_timeout_ + static_cast<Micros>(draw() % static_cast<std::uint64_t>(spread_));
}

void ElectionTimer::restart_eagerly(Micros now) {
    due_at_ = now + kEagerInterval + static_cast<Micros>(draw() % kEagerInterval);
}

// Marsaglia's xorshift.
std::uint64_t ElectionTimer::draw() {
    random_ ^= random_ << 13;
    random_ ^= random_ >> 7;
    random_ ^= random_ << 17;
    return random_;
}

}  // namespace gannethold::cluster
