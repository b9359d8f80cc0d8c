// What dispatchers tell each other: how much each has out at which runner. Only the spelling; who may speak,
// and what is made of it, is the decision module's.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <string>

#include "types.hpp"

namespace gannethold {

struct PeerWords {
    bool all = false;  // what is not named is nothing, rather than unchanged
    std::map<RunnerId, int> out;
};

inline constexpr std::size_t kLongestWords = 256;
inline constexpr int kWarning = 200;  // more than any runner can hold, and still one byte

// A letter, then a runner in four bytes and its count in one; what does not fit is left for the next time.
inline std::string spell(const PeerWords& words) {
    std::string text(1, words.all ? 'A' : 'D');
    for (const auto& [id, n] : words.out) {
        if (text.size() + 5 > kLongestWords) break;
        for (int shift = 24; shift >= 0; shift -= 8)
            text.push_back(static_cast<char>(static_cast<std::uint32_t>(id) >> shift));
        text.push_back(static_cast<char>(std::min(n, 255)));
    }
    return text;
}

inline std::optional<PeerWords> read_words(const std::string& text) {
    if (text.size() % 5 != 1) return std::nullopt;
    PeerWords words;
    words.all = text[0] == 'A' && text.size() < kLongestWords;
    for (std::size_t i = 1; i < text.size(); i += 5) {
        std::uint32_t id = 0;
        for (std::size_t k = 0; k < 4; ++k) id = id << 8 | static_cast<unsigned char>(text[i + k]);
        words.out[RunnerId{id}] = static_cast<unsigned char>(text[i + 4]);
    }
    return words;
}

}  // namespace gannethold
