#include "play_seed.hpp"

#include <memory>

#include "chaos_play.hpp"
#include "loss_play.hpp"
#include "single_fault_play.hpp"

namespace gannethold::cluster::simulation {
namespace {

std::unique_ptr<SeededPlay> make_play(std::uint64_t seed, PlantedFault fault) {
    if (seed % 4 == 0) return std::make_unique<LossPlay>(seed, fault);
    if (seed % 4 == 1) return std::make_unique<ChaosPlay>(seed, fault);
    return std::make_unique<SingleFaultPlay>(seed, fault);
}

}  // namespace

PlayResult play_seed(std::uint64_t seed, PlantedFault fault, bool record_digest) {
    const std::unique_ptr<SeededPlay> play = make_play(seed, fault);
    if (record_digest) play->record_digest();
    return play->run();
}

}  // namespace gannethold::cluster::simulation
