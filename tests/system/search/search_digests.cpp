// Digests of all outputs of the state machines in the search's first seeds, against those of an earlier
// version: a change that is to leave behaviour alone must leave every one as it is.
//   cluster_search_digests                 prints a line for each seed: its number and the digest
//   cluster_search_digests FILE            compares with such lines, and prints those that differ
#include <array>
#include <cinttypes>
#include <cstdio>
#include <fstream>
#include <map>
#include <string>
#include <vector>

#include "for_each_seed.hpp"
#include "play_seed.hpp"

namespace {

using namespace gannethold::cluster::simulation;

constexpr SeedRange kSeeds{1, 200};

std::string to_hex(std::uint64_t digest) {
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016" PRIx64, digest);
    return text.data();
}

/// The digests of kSeeds, in that order.
std::vector<std::string> play_all() {
    std::vector<std::string> digests(kSeeds.count);
    for_each_seed(kSeeds, [&](std::uint64_t seed) {
        digests[seed - kSeeds.first] = to_hex(play_seed(seed, PlantedFault::none, true).digest);
    });
    return digests;
}

std::map<std::uint64_t, std::string> read_expected(const char* path) {
    std::map<std::uint64_t, std::string> expected;
    std::ifstream file(path);
    std::uint64_t seed = 0;
    for (std::string digest; file >> seed >> digest;) expected[seed] = digest;
    return expected;
}

void print(const std::vector<std::string>& digests) {
    std::uint64_t seed = kSeeds.first;
    for (const std::string& digest : digests) std::printf("%" PRIu64 " %s\n", seed++, digest.c_str());
}

/// Prints the differences and returns their number.
std::uint64_t compare(const std::vector<std::string>& digests,
                      const std::map<std::uint64_t, std::string>& expected) {
    std::uint64_t different = 0;
    std::uint64_t seed = kSeeds.first;
    for (const std::string& digest : digests) {
        const auto known = expected.find(seed);
        const std::string before = known == expected.end() ? "nothing" : known->second;
        if (before != digest) {
            ++different;
            std::printf("seed %" PRIu64 ": %s, and it was %s\n", seed, digest.c_str(), before.c_str());
        }
        ++seed;
    }
    return different;
}

}  // namespace

int main(int argc, char** argv) {
    const std::vector<std::string> digests = play_all();
    if (argc < 2) {
        print(digests);
        return 0;
    }
    const std::uint64_t different = compare(digests, read_expected(argv[1]));
    std::printf("%" PRIu64 " passed, %" PRIu64 " failed\n", kSeeds.count - different, different);
    return different == 0 ? 0 : 1;
}
