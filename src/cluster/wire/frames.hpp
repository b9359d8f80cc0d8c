// Messages in a stream of bytes: each stands behind its length (4 bytes, the lowest first).
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "cluster/base/error.hpp"

namespace gannethold::cluster {

// The greatest length that is accepted, so that a stranger's length does not decide how much is buffered.
constexpr std::size_t kMaxFrameBytes = 16U << 20;

// The bytes with their length before them.
std::string make_frame(std::string_view bytes);

// Cuts a stream into messages. Not thread-safe.
class FrameReader {
  public:
    void add(std::string_view bytes) { buffer_.append(bytes); }

    // The next complete message, without its length, valid until the next call of any method; nullopt while
    // it is not complete. Error: bytes_malformed, where a length exceeds kMaxFrameBytes; the stream is then
    // of no further use.
    leaf::result<std::optional<std::string_view>> next();

  private:
    std::string buffer_;
    std::size_t consumed_ = 0;  // bytes at the front that the last call gave out
};

}  // namespace gannethold::cluster
