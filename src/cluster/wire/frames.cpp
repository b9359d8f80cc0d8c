#include "cluster/wire/frames.hpp"

#include <cstdint>
#include <utility>

namespace gannethold::cluster {
namespace {

constexpr std::size_t kLengthPrefixBytes = 4;

std::size_t read_length(std::string_view bytes) {
    std::size_t length = 0;
    for (std::size_t index = 0; index < kLengthPrefixBytes; ++index)
        length |= static_cast<std::size_t>(static_cast<unsigned char>(bytes[index])) << (8 * index);
    return length;
}

}  // namespace

std::string make_frame(std::string_view bytes) {
    const auto length = static_cast<std::uint32_t>(bytes.size());
    std::string frame;
    frame.reserve(kLengthPrefixBytes + bytes.size());
    for (std::size_t index = 0; index < kLengthPrefixBytes; ++index)
        frame += static_cast<char>(length >> (8 * index) & 0xff);
    return frame.append(bytes);
}

leaf::result<std::optional<std::string_view>> FrameReader::next() {
    buffer_.erase(0, std::exchange(consumed_, 0));
    if (buffer_.size() < kLengthPrefixBytes) return std::optional<std::string_view>();
    const std::size_t length = read_length(buffer_);
    if (length > kMaxFrameBytes)
        return make_error(ErrorCode::bytes_malformed,
                          "frame of " + std::to_string(length) + " bytes exceeds the limit");
    if (buffer_.size() < kLengthPrefixBytes + length) return std::optional<std::string_view>();
    consumed_ = kLengthPrefixBytes + length;
    return std::optional(std::string_view{buffer_}.substr(kLengthPrefixBytes, length));
}

}  // namespace gannethold::cluster
