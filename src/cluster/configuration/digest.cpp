#include "cluster/configuration/digest.hpp"

#include <simdjson.h>

#include <string>

namespace gannethold::cluster {
namespace {

constexpr std::uint64_t kFnvOffset = 0xcbf29ce484222325ULL;
constexpr std::uint64_t kFnvPrime = 0x100000001b3ULL;

std::uint64_t fnv1a(std::string_view bytes) {
    std::uint64_t hash = kFnvOffset;
    for (const char byte : bytes) {
        hash ^= static_cast<unsigned char>(byte);
        hash *= kFnvPrime;
    }
    return hash;
}

}  // namespace

std::uint64_t configuration_digest(std::string_view json) {
    std::string minified(json.size(), '\0');
    std::size_t length = 0;
    if (simdjson::minify(json.data(), json.size(), minified.data(), length) != simdjson::SUCCESS)
        return fnv1a(json);
    return fnv1a(std::string_view{minified}.substr(0, length));
}

}  // namespace gannethold::cluster
