// What is kept over a restart, by names that outlive it, and how it stands in a file: a head with magic,
// version, length and checksum, then CBOR maps. A reader passes over names that it does not know and has a
// default for those that are missing, so files of an older and of a newer minor form can be read. No I/O.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

namespace gannethold::keepsake {

using Bins = std::vector<float>;

struct KeptRunner {
    std::string name, kind, zone, address;
    std::int64_t started_ms = 0;  // Unix time, 0: long ago
    Bins latency;
    double least = 0, slots = 0, fraction = 0;
};
struct KeptKind {
    std::string name;
    Bins latency;
    double weight = 0;
};
struct KeptWorkload {
    std::string name;
    Bins latency;
};
struct KeptHold {
    std::string runner, by, why;
    std::int64_t since_ms = 0;  // Unix time
};
struct Record {
    std::int64_t written_ms = 0;  // Unix time
    std::string dispatcher;
    std::vector<KeptRunner> runners;
    std::vector<KeptKind> kinds;
    std::vector<KeptWorkload> workloads;
    std::vector<KeptHold> holds;
    double usual_cost = 0;
};

inline constexpr std::uint32_t kForm = 1;  // a file of a greater one cannot be read
inline constexpr std::size_t kHeadBytes = 24;
inline constexpr std::size_t kLongestFile = (std::size_t{256} << 20) + kHeadBytes;

// Why a file is not believed, in one line.
class Unreadable : public std::runtime_error {
  public:
    using std::runtime_error::runtime_error;
};

std::string spell(const Record& record);
Record read(const std::string& bytes);  // throws Unreadable
// Of a file's first bytes; 0: it is no keepsake, or its head is cut.
std::uint32_t form_of(const std::string& head);
// The same bytes with the length and checksum that belong to them: for tests, whose bodies are to be looked
// into.
std::string sealed(std::string bytes);

}  // namespace gannethold::keepsake
