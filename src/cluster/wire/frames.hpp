// Framing of messages in a byte stream: each message follows its length (4 bytes, little-endian).
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "cluster/base/error.hpp"

namespace gannethold::cluster {

// The greatest accepted length of a frame's content. It bounds the memory that an unknown peer can make the
// receiver buffer.
constexpr std::size_t kMaxFrameBytes = 16U << 20;

// Returns the bytes, preceded by their length.
std::string make_frame(std::string_view bytes);

// Splits a byte stream into frames. Not thread-safe.
class FrameReader {
  public:
    // Appends received bytes to the stream.
    void add(std::string_view bytes) { buffer_.append(bytes); }

    // Returns the content of the next complete frame, which is valid until the next call of any method, or
    // nullopt if no complete frame has been received. Error: bytes_malformed if a length exceeds
    // kMaxFrameBytes; the reader cannot be used any further then.
    leaf::result<std::optional<std::string_view>> next();

  private:
    std::string buffer_;
    std::size_t consumed_ = 0;  // bytes at the front that the last call returned
};

}  // namespace gannethold::cluster
