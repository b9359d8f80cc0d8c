// The text of a configuration as the difference to an older version's text. Versions differ little and links
// may be slow. Works on the bytes as the operator sent them: what is applied is what was sent, byte for byte.
//
// A delta is a varint (seven bits a byte, the lowest first, the eighth bit set on all but the last) with the
// length of what follows once it is decompressed, then, compressed by zlib:
//   varint  length of the text
//   varint  CRC-32 of the base
//   varint  CRC-32 of the text
//   until the end, steps that make the text from its beginning:
//     varint  length of a literal, and its bytes
//     varint  offset of a copy in the base
//     varint  length of the copy
#pragma once

#include <string>
#include <string_view>

#include "cluster/base/error.hpp"

namespace gannethold::cluster {

// The delta from base to text. An empty base is allowed: the delta then carries the complete text,
// compressed.
std::string make_delta(std::string_view base, std::string_view text);

// The text. Error: bytes_malformed, also where base is not the one that the delta was made from.
leaf::result<std::string> apply_delta(std::string_view base, std::string_view delta);

}  // namespace gannethold::cluster
