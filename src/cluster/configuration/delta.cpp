#include "cluster/configuration/delta.hpp"

#include <zlib.h>

#include <cstdint>
#include <unordered_map>

namespace gannethold::cluster {
namespace {

constexpr std::size_t kMost = 64U << 20;  // of a text: against a length that is a non_member's word

void put(std::string& to, std::uint64_t n) {
    for (; n >= 0x80; n >>= 7) to += static_cast<char>(n | 0x80);
    to += static_cast<char>(n);
}

bool take(std::string_view& from, std::uint64_t& n) {
    n = 0;
    for (int shift = 0; shift < 63 && !from.empty(); shift += 7) {
        const auto c = static_cast<unsigned char>(from.front());
        from.remove_prefix(1);
        n |= static_cast<std::uint64_t>(c & 0x7f) << shift;
        if (c < 0x80) return true;
    }
    return false;
}

std::uint32_t check(std::string_view text) {
    return static_cast<std::uint32_t>(
        crc32(0, reinterpret_cast<const Bytef*>(text.data()), static_cast<uInt>(text.size())));
}

// Pieces end behind each closing brace: routes and services are one each.
std::size_t piece_end(std::string_view text, std::size_t from) {
    const auto brace = text.find('}', from);
    return brace == std::string_view::npos ? text.size() : brace + 1;
}

}  // namespace

std::string make_delta(std::string_view base, std::string_view text) {
    std::unordered_map<std::string_view, std::size_t> places;
    for (std::size_t at = 0; at < base.size();) {
        const std::size_t end = piece_end(base, at);
        places.emplace(base.substr(at, end - at), at);
        at = end;
    }
    // Turns of: length of own bytes, those bytes, place in base, length there.
    std::string steps;
    std::string own;
    std::size_t from = 0;
    std::size_t length = 0;
    const auto flush = [&] {
        put(steps, own.size());
        steps += own;
        put(steps, from);
        put(steps, length);
        own.clear();
        length = 0;
    };
    for (std::size_t at = 0; at < text.size();) {
        const std::size_t end = piece_end(text, at);
        const std::string_view piece = text.substr(at, end - at);
        at = end;
        if (length > 0 && base.substr(from + length, piece.size()) == piece) {
            length += piece.size();
            continue;
        }
        const auto known = places.find(piece);
        if (known != places.end()) {
            if (length > 0) flush();
            from = known->second;
            length = piece.size();
        } else {
            if (length > 0) flush();
            own.append(piece);
        }
    }
    flush();
    std::string plain;
    put(plain, text.size());
    put(plain, check(base));
    put(plain, check(text));
    plain += steps;
    std::string out;
    put(out, plain.size());
    const std::size_t head = out.size();
    uLongf room = compressBound(static_cast<uLong>(plain.size()));
    out.resize(head + room);
    compress2(reinterpret_cast<Bytef*>(out.data() + head), &room,
              reinterpret_cast<const Bytef*>(plain.data()), static_cast<uLong>(plain.size()), 6);
    out.resize(head + room);
    return out;
}

leaf::result<std::string> apply_delta(std::string_view base, std::string_view difference) {
    const auto bad = [](const char* why) { return make_error(ErrorCode::bytes_malformed, why); };
    std::uint64_t size = 0;
    std::uint64_t base_check = 0;
    std::uint64_t text_check = 0;
    if (!take(difference, size) || size > kMost) return bad("a difference without its length");
    std::string plain(size, '\0');
    uLongf got = static_cast<uLongf>(size);
    if (uncompress(reinterpret_cast<Bytef*>(plain.data()), &got,
                   reinterpret_cast<const Bytef*>(difference.data()),
                   static_cast<uLong>(difference.size())) != Z_OK ||
        got != size)
        return bad("a difference that can not be unpacked");
    std::string_view steps = plain;
    if (!take(steps, size) || !take(steps, base_check) || !take(steps, text_check) || size > kMost)
        return bad("a difference without its head");
    if (base_check != check(base)) return bad("a difference to another text");
    std::string text;
    text.reserve(size);
    while (!steps.empty()) {
        std::uint64_t own = 0;
        std::uint64_t from = 0;
        std::uint64_t length = 0;
        if (!take(steps, own) || own > steps.size()) return bad("a difference cut short");
        text.append(steps.substr(0, own));
        steps.remove_prefix(own);
        if (!take(steps, from) || !take(steps, length) || from > base.size() || length > base.size() - from ||
            text.size() + length > size)
            return bad("a difference that points outside");
        text.append(base.substr(from, length));
    }
    if (text.size() != size || check(text) != text_check) return bad("a difference that does not fit");
    return text;
}

}  // namespace gannethold::cluster
