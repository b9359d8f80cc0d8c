// Plays the core's state machines through seeded troubles and checks after each step what must hold: one
// leader a term and one that acts, one body a version, nothing acknowledged lost within what may be lost at
// once, fronts that never go back, no request run twice, no slot given twice. A failing seed prints the
// scenario that replays it.
//   cluster_search [seeds] [first] [sabotage]      sabotage: sync, vote or drift, to show that the checks can
//   fail
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <thread>

#include "search_play.hpp"

using namespace gannethold;
using namespace gannethold::cluster;
using namespace gannethold::cluster::played;

int main(int argc, char** argv) {
    const std::uint64_t seeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1000;
    const std::uint64_t first = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
    Sabotage sabotage = Sabotage::none;
    if (argc > 3) {
        if (!std::strcmp(argv[3], "sync"))
            sabotage = Sabotage::send_before_sync;
        else if (!std::strcmp(argv[3], "vote"))
            sabotage = Sabotage::vote_after_wipe;
        else if (!std::strcmp(argv[3], "drift"))
            sabotage = Sabotage::lease_without_drift;
        else
            return std::fprintf(stderr, "no such sabotage: %s\n", argv[3]), 2;
    }
    std::atomic<std::uint64_t> next{first}, failed{0}, shown{0};
    std::vector<std::thread> threads;
    for (unsigned t = 0; t < std::max(1U, std::thread::hardware_concurrency()); ++t)
        threads.emplace_back([&] {
            for (std::uint64_t seed; (seed = next++) < first + seeds;) {
                const Played played = Play(seed, sabotage).run();
                if (played.breaches.empty()) continue;
                ++failed;
                if (shown++ < 3)
                    std::printf("# seed %llu: %s\n%s\n", static_cast<unsigned long long>(seed),
                                played.breaches.front().c_str(), played.story.c_str());
            }
        });
    for (std::thread& t : threads) t.join();
    std::printf("%llu passed, %llu failed\n", static_cast<unsigned long long>(seeds - failed),
                static_cast<unsigned long long>(failed.load()));
    // With a fault put in on purpose it is finding nothing that fails.
    return (sabotage == Sabotage::none) == (failed == 0) ? 0 : 1;
}
