// Plays the cluster's state machines through seeded faults and checks the invariants after each step: one
// leader a term and one that acts, one body a version, nothing acknowledged that is lost or rejected later,
// no read and no configuration of a proxy older than what was acknowledged before, no answer of a machine
// that has long been cut off, a leader soon after every loss that must be tolerated, proxies that never go
// back, no request run twice, no slot granted twice. A failing seed prints the scenario that replays it.
//   cluster_search [seeds] [first] [fault]         fault: an enumerator of PlantedFault, to show that the
//   checks can fail
// Plays: single_fault_play.hpp (one fault at a time), loss_play.hpp (losses that must be tolerated, the next
// one at catch-up), chaos_play.hpp (unbounded faults). What operators do meanwhile: operator_moves.hpp.
#include <atomic>
#include <cinttypes>
#include <cstdio>
#include <cstdlib>
#include <optional>

#include "for_each_seed.hpp"
#include "play_seed.hpp"

namespace {

using gannethold::cluster::simulation::PlantedFault;
using gannethold::cluster::simulation::PlayResult;
using gannethold::cluster::simulation::SeedRange;

constexpr std::uint64_t kMaxTraces = 3;
constexpr std::uint64_t kMaxViolations = 100;
constexpr std::uint64_t kDefaultSeeds = 1000;

struct Arguments {
    SeedRange seeds{1, kDefaultSeeds};
    PlantedFault fault = PlantedFault::none;
};

/// Nothing if the fault is not known.
std::optional<Arguments> parse_arguments(int argc, char** argv) {
    Arguments arguments;
    if (argc > 1) arguments.seeds.count = std::strtoull(argv[1], nullptr, 10);
    if (argc > 2) arguments.seeds.first = std::strtoull(argv[2], nullptr, 10);
    if (argc <= 3) return arguments;
    const auto fault = gannethold::cluster::simulation::parse_planted_fault(argv[3]);
    if (!fault) {
        std::fprintf(stderr, "no such fault: %s\n", argv[3]);
        return std::nullopt;
    }
    arguments.fault = *fault;
    return arguments;
}

/// Prints what fails, up to a bound; returns the number of seeds that failed.
std::uint64_t play_all(const Arguments& arguments) {
    std::atomic<std::uint64_t> failed{0};
    for_each_seed(arguments.seeds, [&](std::uint64_t seed) {
        const PlayResult result = play_seed(seed, arguments.fault);
        if (result.violations.empty()) return;
        const std::uint64_t earlier = failed++;
        if (earlier >= kMaxViolations) return;
        const char* const trace = earlier < kMaxTraces ? result.trace.c_str() : "";
        std::printf("# seed %" PRIu64 ": %s\n%s\n", seed, result.violations.front().c_str(), trace);
    });
    return failed;
}

}  // namespace

int main(int argc, char** argv) {
    const std::optional<Arguments> arguments = parse_arguments(argc, argv);
    if (!arguments) return 2;
    const std::uint64_t failed = play_all(*arguments);
    std::printf("%" PRIu64 " passed, %" PRIu64 " failed\n", arguments->seeds.count - failed, failed);
    // With a planted fault it is finding nothing that fails.
    const bool expects_failures = arguments->fault != PlantedFault::none;
    return expects_failures == (failed > 0) ? 0 : 1;
}
