// A configuration as the difference to an older one. Versions differ little and links are slow: what both
// have is named by its place. Works on the bytes as the operator sent them, so that what is read back is what
// was sent.
#pragma once

#include <string>
#include <string_view>

#include "cluster/base/error.hpp"

namespace gannethold::cluster {

// base may be empty; then the whole text is carried. Either way the result is compressed.
std::string make_delta(std::string_view base, std::string_view text);
// Error: bytes_malformed, also where base is not the one that the difference was made to.
leaf::result<std::string> apply_delta(std::string_view base, std::string_view difference);

}  // namespace gannethold::cluster
