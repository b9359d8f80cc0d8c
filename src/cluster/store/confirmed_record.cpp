#include "cluster/store/confirmed_record.hpp"

#include <charconv>
#include <optional>

namespace gannethold::cluster {
namespace {

constexpr std::size_t kDecimalDigits = 20;
constexpr std::size_t kHexDigits = 16;
constexpr int kDecimal = 10;
constexpr int kHexadecimal = 16;

std::string zero_padded(std::uint64_t number, std::size_t digits, int base) {
    char text[kDecimalDigits];
    const std::to_chars_result written = std::to_chars(std::begin(text), std::end(text), number, base);
    const auto length = static_cast<std::size_t>(written.ptr - std::begin(text));
    return std::string(digits - length, '0').append(text, length);
}

// Returns nullopt if the text is not a number with exactly that many digits.
std::optional<std::uint64_t> parse(std::string_view text, std::size_t digits, int base) {
    std::uint64_t number = 0;
    const std::from_chars_result read = std::from_chars(text.data(), text.data() + text.size(), number, base);
    const bool is_complete = read.ec == std::errc() && read.ptr == text.data() + text.size();
    if (!is_complete || text.size() != digits) return std::nullopt;
    return number;
}

}  // namespace

std::string confirmed_key(const ConfirmedVersion& record) {
    std::string key(kConfirmedPrefix);
    key += zero_padded(record.index, kDecimalDigits, kDecimal);
    key += '/';
    key += zero_padded(record.version, kDecimalDigits, kDecimal);
    return key;
}

std::string confirmed_value(const ConfirmedVersion& record) {
    return zero_padded(record.digest, kHexDigits, kHexadecimal);
}

leaf::result<ConfirmedVersion> decode_confirmed(std::string_view key, std::string_view value) {
    const std::size_t separator = kConfirmedPrefix.size() + kDecimalDigits;
    if (!key.starts_with(kConfirmedPrefix) || key.size() <= separator || key[separator] != '/')
        return make_error(ErrorCode::bytes_malformed, "malformed key of a confirmed version");
    const auto index = parse(key.substr(kConfirmedPrefix.size(), kDecimalDigits), kDecimalDigits, kDecimal);
    const auto version = parse(key.substr(separator + 1), kDecimalDigits, kDecimal);
    const auto digest = parse(value, kHexDigits, kHexadecimal);
    if (!index || !version || !digest)
        return make_error(ErrorCode::bytes_malformed, "malformed record of a confirmed version");
    return ConfirmedVersion{*version, *digest, *index};
}

}  // namespace gannethold::cluster
