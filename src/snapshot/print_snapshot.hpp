// `gannethold keepsake show|verify FILE`: what is in a file, and what would be believed of it now.
#pragma once

#include <iosfwd>
#include <string>

#include "snapshot/decay.hpp"

namespace gannethold::keepsake {

// 0: it is whole; 1: it cannot be read, which is said on `wrong`. verify prints one line only.
int show(const std::string& path, bool verify_only, const Prudence& prudence, std::ostream& out,
         std::ostream& wrong);

}  // namespace gannethold::keepsake
