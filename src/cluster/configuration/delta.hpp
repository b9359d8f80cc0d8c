// Delta encoding of configuration texts against an older version, since consecutive versions differ little
// and links may be slow. Works on bytes, so the decoded text is byte for byte what the operator sent.
//
// A varint has seven bits per byte, lowest bits first; the eighth bit is set on all bytes but the last. A
// delta is a varint with the decompressed length of the rest, followed by the rest, compressed with zlib:
//   varint  length of the text
//   varint  CRC-32 of the base
//   varint  CRC-32 of the text
//   steps that build the text from its beginning, until the end of the data:
//     varint  length of a literal, and its bytes
//     varint  offset of a copy in the base
//     varint  length of the copy
#pragma once

#include <string>
#include <string_view>

#include "cluster/base/error.hpp"

namespace gannethold::cluster {

// Returns the delta from base to text. With an empty base, the delta holds the complete text, compressed.
std::string make_delta(std::string_view base, std::string_view text);

// Returns the text. Error: bytes_malformed if the delta is corrupt or was not made from this base.
leaf::result<std::string> apply_delta(std::string_view base, std::string_view delta);

}  // namespace gannethold::cluster
