// The reader of keepsakes. A checksum keeps nearly all bytes from its inner parts, so each input is also read
// as a body under a head that is right.
#include <cstdint>
#include <cstdlib>

#include "snapshot/snapshot_format.hpp"

using namespace gannethold::keepsake;

namespace {

void read_one(const std::string& bytes) {
    try {
        const Record record = read(bytes);
        // What could be read can be kept again, and is then the same.
        if (spell(read(spell(record))) != spell(record)) std::abort();
    } catch (const Unreadable&) {
    }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    static const std::string head = spell({}).substr(0, kHeadBytes);
    const std::string bytes(reinterpret_cast<const char*>(data), size);
    read_one(bytes);
    read_one(sealed(head + bytes));
    return 0;
}
