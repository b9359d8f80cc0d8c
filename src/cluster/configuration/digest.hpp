// Digest of a configuration's text, which distinguishes two configurations of the same version.
#pragma once

#include <cstdint>
#include <string_view>

namespace gannethold::cluster {

// Returns the 64-bit FNV-1a hash of the JSON text without insignificant whitespace, so that a repeated text
// has the same digest on every machine and after every restart, even if its line breaks differ. Text that is
// not JSON is hashed as it is. The digest is stored and sent to other machines, so the function must not
// change. It detects accidental differences, not forgery.
std::uint64_t configuration_digest(std::string_view json);

}  // namespace gannethold::cluster
