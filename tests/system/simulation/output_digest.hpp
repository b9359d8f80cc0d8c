// A digest of all outputs of the state machines of a simulated cluster, in order. It covers bytes and numbers
// only, never names in the code, so a change that only renames or moves code leaves it unchanged.
#pragma once

#include <cstdint>
#include <string_view>

namespace gannethold::cluster::simulation {

/// FNV-1a with 64 bits: the same in every build, unlike std::hash.
class OutputDigest {
  public:
    void add(std::string_view bytes) {
        add(static_cast<std::uint64_t>(bytes.size()));
        for (const char c : bytes) add_byte(static_cast<std::uint8_t>(c));
    }
    void add(std::uint64_t number) {
        for (unsigned shift = 0; shift < 64; shift += 8) add_byte(static_cast<std::uint8_t>(number >> shift));
    }
    std::uint64_t value() const { return value_; }

  private:
    static constexpr std::uint64_t kOffsetBasis = 0xcbf29ce484222325;
    static constexpr std::uint64_t kPrime = 0x100000001b3;

    void add_byte(std::uint8_t byte) {
        value_ ^= byte;
        value_ *= kPrime;
    }

    std::uint64_t value_ = kOffsetBasis;
};

}  // namespace gannethold::cluster::simulation
