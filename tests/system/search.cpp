// Plays the core's state machines through seeded troubles and checks after each step what must hold: one
// leader a term and one that acts, one body a number, nothing acknowledged that is lost or refused later, no
// read and no configuration of a front older than what was acknowledged before, no answer of who has long
// been cut off, a leader soon after every loss that may come, fronts that never go back, no request run
// twice, no slot given twice. A failing seed prints the scenario that replays it.
//   cluster_search [seeds] [first] [fault]         fault: one of kFaults, to show that the checks can fail
// Plays: search_play.hpp (one trouble at a time), search_losses.hpp (losses as they may come, the next one at
// catch-up), search_chaos.hpp (troubles without bound). What operators do meanwhile: search_moves.hpp.
#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <iterator>
#include <thread>

#include "search_seed.hpp"

using namespace gannethold;
using namespace gannethold::cluster;
using namespace gannethold::cluster::played;

namespace {

constexpr std::uint64_t kStoriesTold = 3, kBreachesTold = 100;

struct Fault {
    const char* name;
    Sabotage sabotage;
};

constexpr Fault kFaults[] = {
    {"sync", Sabotage::send_before_sync},
    {"vote", Sabotage::vote_after_wipe},
    {"drift", Sabotage::lease_without_drift},
    {"stale_read", Sabotage::read_without_lease},
    {"stale_front", Sabotage::configure_without_lease},
    {"any_body", Sabotage::compare_no_bodies},
    {"new_voters_only", Sabotage::quorum_of_new_voters},
    {"learner_votes", Sabotage::learner_votes_at_once},
    {"no_joint_step", Sabotage::change_without_joint_step},
    {"silence", Sabotage::repeat_after_silence},
};

}  // namespace

int main(int argc, char** argv) {
    const std::uint64_t seeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1000;
    const std::uint64_t first = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
    Sabotage sabotage = Sabotage::none;
    if (argc > 3) {
        const auto fault = std::find_if(std::begin(kFaults), std::end(kFaults),
                                        [&](const Fault& one) { return !std::strcmp(argv[3], one.name); });
        if (fault == std::end(kFaults)) {
            std::fprintf(stderr, "no such fault: %s\n", argv[3]);
            return 2;
        }
        sabotage = fault->sabotage;
    }
    std::atomic<std::uint64_t> next{first};
    std::atomic<std::uint64_t> failed{0};
    std::atomic<std::uint64_t> shown{0};
    std::vector<std::thread> threads;
    for (unsigned t = 0; t < std::max(1U, std::thread::hardware_concurrency()); ++t)
        threads.emplace_back([&] {
            for (std::uint64_t seed = next++; seed < first + seeds; seed = next++) {
                const Played played = play_seed(seed, sabotage);
                if (played.breaches.empty()) continue;
                ++failed;
                const std::uint64_t earlier = shown++;
                if (earlier >= kBreachesTold) continue;
                const char* const story = earlier < kStoriesTold ? played.story.c_str() : "";
                std::printf("# seed %llu: %s\n%s\n", static_cast<unsigned long long>(seed),
                            played.breaches.front().c_str(), story);
            }
        });
    for (std::thread& t : threads) t.join();
    std::printf("%llu passed, %llu failed\n", static_cast<unsigned long long>(seeds - failed),
                static_cast<unsigned long long>(failed.load()));
    // With a fault put in on purpose it is finding nothing that fails.
    return (sabotage == Sabotage::none) == (failed == 0) ? 0 : 1;
}
