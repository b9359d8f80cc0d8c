// What one seed of the search plays.
#pragma once

#include "search_moves.hpp"

namespace gannethold::cluster::played {

// Two of four seeds play single troubles; one losses as they may come; one troubles without bound.
Played play_seed(std::uint64_t seed, Sabotage sabotage, bool record_digest = false);

}  // namespace gannethold::cluster::played
