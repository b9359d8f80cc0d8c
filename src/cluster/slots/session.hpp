#pragma once

#include <cstdint>

namespace gannethold::cluster {

// Identifies one connection of one proxy to this coordinator. Never reused within a term and never 0.
using Session = std::uint64_t;

}  // namespace gannethold::cluster
