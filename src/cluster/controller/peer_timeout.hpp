// Silence of another process after which a controller closes the connection to it.
#pragma once

#include "types.hpp"

namespace gannethold::cluster {

inline constexpr Micros kPeerTimeout = 1'500'000;

}  // namespace gannethold::cluster
