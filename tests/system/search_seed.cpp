#include "search_seed.hpp"

#include "search_chaos.hpp"
#include "search_losses.hpp"
#include "search_play.hpp"

namespace gannethold::cluster::played {
namespace {

template <class OnePlay>
Played run(std::uint64_t seed, Sabotage sabotage, bool record_digest) {
    OnePlay play(seed, sabotage);
    if (record_digest) play.record_digest();
    return play.run();
}

}  // namespace

Played play_seed(std::uint64_t seed, Sabotage sabotage, bool record_digest) {
    if (seed % 4 == 0) return run<LossPlay>(seed, sabotage, record_digest);
    if (seed % 4 == 1) return run<ChaosPlay>(seed, sabotage, record_digest);
    return run<Play>(seed, sabotage, record_digest);
}

}  // namespace gannethold::cluster::played
