#pragma once

#include <cstdint>

namespace gannethold::cluster {

// One connection of one proxy to this coordinator; never reused in a term, never 0.
using Session = std::uint64_t;

}  // namespace gannethold::cluster
