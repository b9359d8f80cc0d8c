// What dispatchers tell each other: how much each has out at which runner. Only the spelling; who may speak,
// and what is made of it, is the decision module's.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <string>

#include "types.hpp"

namespace gannethold {

// Words cost by the byte: two bytes of a runner's id are enough to tell the few runners apart that they are about.
enum class ShortId : std::uint16_t {};

inline ShortId shortened(RunnerId id) {
    const auto whole = static_cast<std::uint32_t>(id);
    return static_cast<ShortId>((whole ^ whole >> 16) & 0xffff);
}

struct PeerWords {
    bool all = false;  // what is not named is nothing, rather than unchanged
    std::map<ShortId, int> out;
};

inline constexpr std::size_t kLongestWords = 256;

// A runner in two bytes and its count in one; one more byte at the end says that this is all. What does not fit is
// left for the next time.
inline std::string spell(const PeerWords& words) {
    std::string text;
    for (const auto& [id, n] : words.out) {
        if (text.size() + 4 > kLongestWords) return text;
        text.push_back(static_cast<char>(static_cast<std::uint16_t>(id) >> 8));
        text.push_back(static_cast<char>(id));
        text.push_back(static_cast<char>(std::min(n, 255)));
    }
    if (words.all) text.push_back('.');
    return text;
}

inline std::optional<PeerWords> read_words(const std::string& text) {
    if (text.empty() || text.size() > kLongestWords || text.size() % 3 == 2) return std::nullopt;
    PeerWords words;
    words.all = text.size() % 3 == 1;
    for (std::size_t i = 0; i + 2 < text.size(); i += 3) {
        const auto high = static_cast<unsigned char>(text[i]), low = static_cast<unsigned char>(text[i + 1]);
        words.out[static_cast<ShortId>(high << 8 | low)] = static_cast<unsigned char>(text[i + 2]);
    }
    return words;
}

}  // namespace gannethold
