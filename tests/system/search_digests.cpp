// Digests of what the state machines put out in the search's first seeds, against those that an earlier text
// gave: a change that is to alter no behaviour must leave every one as it is.
//   cluster_search_digests                 prints a line for each seed: its number and the digest
//   cluster_search_digests FILE            compares with such lines, and prints those that differ
#include <algorithm>
#include <atomic>
#include <cinttypes>
#include <cstdio>
#include <fstream>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "search_seed.hpp"

using namespace gannethold::cluster::played;

namespace {

constexpr std::uint64_t kSeeds = 200;

std::string as_text(std::uint64_t digest) {
    char text[17];
    std::snprintf(text, sizeof text, "%016" PRIx64, digest);
    return text;
}

// The digests of seeds 1 to kSeeds, in that order.
std::vector<std::string> play_all() {
    std::vector<std::string> digests(kSeeds);
    std::atomic<std::uint64_t> next{1};
    std::vector<std::thread> threads;
    for (unsigned n = 0; n < std::max(1U, std::thread::hardware_concurrency()); ++n)
        threads.emplace_back([&] {
            for (std::uint64_t seed = next++; seed <= kSeeds; seed = next++)
                digests[seed - 1] = as_text(play_seed(seed, Sabotage::none, true).digest);
        });
    for (std::thread& thread : threads) thread.join();
    return digests;
}

std::map<std::uint64_t, std::string> read_expected(const char* path) {
    std::map<std::uint64_t, std::string> expected;
    std::ifstream file(path);
    std::uint64_t seed = 0;
    for (std::string digest; file >> seed >> digest;) expected[seed] = digest;
    return expected;
}

}  // namespace

int main(int argc, char** argv) {
    const std::vector<std::string> digests = play_all();
    if (argc < 2) {
        for (std::uint64_t seed = 1; seed <= kSeeds; ++seed)
            std::printf("%" PRIu64 " %s\n", seed, digests[seed - 1].c_str());
        return 0;
    }
    const std::map<std::uint64_t, std::string> expected = read_expected(argv[1]);
    std::uint64_t failed = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        const auto known = expected.find(seed);
        const std::string before = known == expected.end() ? "nothing" : known->second;
        if (before == digests[seed - 1]) continue;
        ++failed;
        std::printf("seed %" PRIu64 ": %s, and it was %s\n", seed, digests[seed - 1].c_str(), before.c_str());
    }
    std::printf("%" PRIu64 " passed, %" PRIu64 " failed\n", kSeeds - failed, failed);
    return failed == 0 ? 0 : 1;
}
