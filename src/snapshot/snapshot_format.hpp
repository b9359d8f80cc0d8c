// A snapshot as bytes: a header with magic, format version, length and checksum, then one CBOR map. The
// decoder ignores unknown keys and has defaults for missing ones, so that it reads the files of older and
// newer programs of the same format version. No I/O. docs/snapshot.md lists the keys.
#pragma once

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>

#include "snapshot/snapshot.hpp"

namespace gannethold::snapshot {

inline constexpr std::uint32_t kFormatVersion = 1;  // a file with a greater one cannot be read
inline constexpr std::size_t kHeaderBytes = 24;
inline constexpr std::size_t kMaxFileBytes = (std::size_t{256} << 20) + kHeaderBytes;

// The reason why bytes cannot be decoded, in one line.
class FormatError : public std::runtime_error {
  public:
    using std::runtime_error::runtime_error;
};

std::string encode(const Snapshot& snapshot);
// Throws FormatError. Values out of bounds are read as missing: the checksum proves only that they were
// written.
Snapshot decode(const std::string& bytes);

// The format version in the first bytes of a file; 0: not a snapshot, or its header is incomplete.
std::uint32_t format_version_of(const std::string& header);

// The same bytes with the length and checksum that belong to their body, so that tests can craft bodies.
std::string with_valid_header(std::string bytes);

}  // namespace gannethold::snapshot
