// The decoder of snapshots. Since the checksum keeps nearly all inputs from its inner parts, each input is
// also decoded as a body below a valid header.
#include <cstdint>
#include <cstdlib>

#include "snapshot/snapshot_format.hpp"

using namespace gannethold::snapshot;

namespace {

void decode_one(const std::string& bytes) {
    try {
        const Snapshot snapshot = decode(bytes);
        // What could be decoded can be written again, and is then the same.
        if (encode(decode(encode(snapshot))) != encode(snapshot)) std::abort();
    } catch (const FormatError&) {
    }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    static const std::string header = encode({}).substr(0, kHeaderBytes);
    const std::string bytes(reinterpret_cast<const char*>(data), size);
    decode_one(bytes);
    decode_one(with_valid_header(header + bytes));
    return 0;
}
