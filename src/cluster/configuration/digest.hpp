// Tells two configurations of the same version apart.
#pragma once

#include <cstdint>
#include <string_view>

namespace gannethold::cluster {

// A 64-bit FNV-1a hash of the JSON text without its insignificant white space: the same text sent again, also
// with other line breaks, has the same digest on every machine and after every restart. Text that is not JSON
// is hashed as it is. Digests are stored and sent: the function must not change. It detects mistakes, not
// forgery.
std::uint64_t configuration_digest(std::string_view json);

}  // namespace gannethold::cluster
