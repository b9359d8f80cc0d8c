#include "cluster/configuration/delta.hpp"

#include <zlib.h>

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace gannethold::cluster {
namespace {

// Maximum size of a text and of decompressed steps. Bounds the allocation for lengths in received data.
constexpr std::size_t kMaxBytes = 64U << 20;
constexpr int kCompressionLevel = 6;
constexpr int kVarintBits = 7;
constexpr std::uint64_t kVarintContinuation = 0x80;  // set on all bytes but the last
constexpr int kMaxVarintShift = 63;

void append_varint(std::string& to, std::uint64_t number) {
    for (; number >= kVarintContinuation; number >>= kVarintBits)
        to += static_cast<char>(number | kVarintContinuation);
    to += static_cast<char>(number);
}

// Removes a varint from the front and returns it; nullopt if it is malformed.
std::optional<std::uint64_t> take_varint(std::string_view& from) {
    std::uint64_t number = 0;
    for (int shift = 0; shift < kMaxVarintShift && !from.empty(); shift += kVarintBits) {
        const auto byte = static_cast<unsigned char>(from.front());
        from.remove_prefix(1);
        number |= static_cast<std::uint64_t>(byte & (kVarintContinuation - 1)) << shift;
        if (byte < kVarintContinuation) return number;
    }
    return std::nullopt;
}

std::uint32_t checksum(std::string_view text) {
    return static_cast<std::uint32_t>(
        crc32(0, reinterpret_cast<const Bytef*>(text.data()), static_cast<uInt>(text.size())));
}

// The piece of the text that begins at the offset. A piece ends after a closing brace, so each route and each
// service is one piece.
std::string_view piece_at(std::string_view text, std::size_t offset) {
    const auto brace = text.find('}', offset);
    return text.substr(offset, brace == std::string_view::npos ? brace : brace + 1 - offset);
}

// The first offset of each piece.
std::unordered_map<std::string_view, std::size_t> piece_offsets(std::string_view text) {
    std::unordered_map<std::string_view, std::size_t> offsets;
    for (std::size_t offset = 0; offset < text.size();) {
        const std::string_view piece = piece_at(text, offset);
        offsets.emplace(piece, offset);
        offset += piece.size();
    }
    return offsets;
}

// Writes steps; merges consecutive literals, and copies that are adjacent in the base.
class StepWriter {
  public:
    explicit StepWriter(std::string_view base) : base_(base) {}

    // Extends the current copy by the piece if that follows it in the base. Returns whether it did.
    bool extend_copy(std::string_view piece) {
        if (copy_length_ == 0 || base_.substr(copy_offset_ + copy_length_, piece.size()) != piece)
            return false;
        copy_length_ += piece.size();
        return true;
    }
    void start_copy(std::size_t offset, std::size_t length) {
        finish_copy();
        copy_offset_ = offset;
        copy_length_ = length;
    }
    void add_literal(std::string_view piece) {
        finish_copy();
        literal_.append(piece);
    }
    std::string finish() {
        write_step();
        return std::move(steps_);
    }

  private:
    void finish_copy() {
        if (copy_length_ > 0) write_step();
    }
    void write_step() {
        append_varint(steps_, literal_.size());
        steps_ += literal_;
        append_varint(steps_, copy_offset_);
        append_varint(steps_, copy_length_);
        literal_.clear();
        copy_length_ = 0;
    }

    std::string_view base_;
    std::string steps_;
    std::string literal_;
    std::size_t copy_offset_ = 0;
    std::size_t copy_length_ = 0;
};

std::string compressed(const std::string& plain) {
    std::string bytes;
    append_varint(bytes, plain.size());
    const std::size_t header = bytes.size();
    uLongf length = compressBound(static_cast<uLong>(plain.size()));
    bytes.resize(header + length);
    compress2(reinterpret_cast<Bytef*>(bytes.data() + header), &length,
              reinterpret_cast<const Bytef*>(plain.data()), static_cast<uLong>(plain.size()),
              kCompressionLevel);
    bytes.resize(header + length);
    return bytes;
}

leaf::error_id malformed(const char* why) { return make_error(ErrorCode::bytes_malformed, why); }

leaf::result<std::string> decompressed(std::string_view bytes) {
    const auto length = take_varint(bytes);
    if (!length || *length > kMaxBytes) return malformed("delta has no valid length");
    std::string plain(*length, '\0');
    uLongf written = static_cast<uLongf>(plain.size());
    const int status =
        uncompress(reinterpret_cast<Bytef*>(plain.data()), &written,
                   reinterpret_cast<const Bytef*>(bytes.data()), static_cast<uLong>(bytes.size()));
    if (status != Z_OK || written != plain.size()) return malformed("delta cannot be decompressed");
    return plain;
}

leaf::result<std::string> apply_steps(std::string_view base, std::string_view steps,
                                      std::size_t text_length) {
    std::string text;
    text.reserve(text_length);
    while (!steps.empty()) {
        const auto literal_length = take_varint(steps);
        if (!literal_length || *literal_length > steps.size()) return malformed("delta is truncated");
        text.append(steps.substr(0, *literal_length));
        steps.remove_prefix(*literal_length);
        const auto copy_offset = take_varint(steps);
        const auto copy_length = take_varint(steps);
        if (!copy_offset || !copy_length || *copy_offset > base.size() ||
            *copy_length > base.size() - *copy_offset || text.size() + *copy_length > text_length)
            return malformed("delta copies data outside of its base or beyond its text");
        text.append(base.substr(*copy_offset, *copy_length));
    }
    return text;
}

}  // namespace

std::string make_delta(std::string_view base, std::string_view text) {
    const auto base_offsets = piece_offsets(base);
    StepWriter steps(base);
    for (std::size_t offset = 0; offset < text.size();) {
        const std::string_view piece = piece_at(text, offset);
        offset += piece.size();
        if (steps.extend_copy(piece)) continue;
        if (const auto known = base_offsets.find(piece); known != base_offsets.end())
            steps.start_copy(known->second, piece.size());
        else
            steps.add_literal(piece);
    }
    std::string plain;
    append_varint(plain, text.size());
    append_varint(plain, checksum(base));
    append_varint(plain, checksum(text));
    plain += steps.finish();
    return compressed(plain);
}

leaf::result<std::string> apply_delta(std::string_view base, std::string_view delta) {
    BOOST_LEAF_AUTO(plain, decompressed(delta));
    std::string_view steps = plain;
    const auto text_length = take_varint(steps);
    const auto base_checksum = take_varint(steps);
    const auto text_checksum = take_varint(steps);
    if (!text_length || !base_checksum || !text_checksum || *text_length > kMaxBytes)
        return malformed("delta has no valid header");
    if (*base_checksum != checksum(base)) return malformed("delta was made from another base");
    BOOST_LEAF_AUTO(text, apply_steps(base, steps, *text_length));
    if (text.size() != *text_length || checksum(text) != *text_checksum)
        return malformed("delta yields a text with a wrong length or checksum");
    return text;
}

}  // namespace gannethold::cluster
