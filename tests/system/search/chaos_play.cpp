#include "chaos_play.hpp"

namespace gannethold::cluster::simulation {
namespace {

constexpr Micros kBeforeFaults = 1'500'000;
constexpr Micros kFaultsSpan = 20'000'000;    // from the start of the play
constexpr Micros kRecoveryTime = 12'000'000;  // votes may be split a few times
constexpr Micros kStall = 1'200'000;
constexpr std::size_t kMaxCores = 8;

PlaySetup make_setup(std::uint64_t seed, PlantedFault fault) {
    PlaySetup setup{std::mt19937_64(seed * 32452843 + 7), {}};
    setup.shape.cores = 3 + setup.random() % 3;
    setup.shape.seed = seed;
    setup.shape.delay = static_cast<Micros>(200 + setup.random() % 20'000);
    setup.shape.loss = setup.random() % 2 == 0 ? 0.05 : 0;
    setup.shape.fault = fault;
    return setup;
}

}  // namespace

ChaosPlay::ChaosPlay(std::uint64_t seed, PlantedFault fault) : SeededPlay(make_setup(seed, fault)) {}

void ChaosPlay::play() {
    const Micros start = now();
    cluster().run_until(start + kBeforeFaults);
    while (now() < start + kFaultsSpan && !has_violation()) {
        inject_fault();
        if (pick(2) == 0) operators().move();
        const std::uint64_t max_pause = pick(3) == 0 ? 1'500'000 : 150'000;
        cluster().run_until(now() + static_cast<Micros>(5'000 + pick(max_pause)));
    }
    if (!has_violation()) recover();
}

void ChaosPlay::inject_fault() {
    const std::size_t core = pick(core_count());
    switch (pick(16)) {
        case 0:
            kill(core);
            break;
        case 1:
            crash_at_next_write(core);
            break;
        case 2:
            cut_some();
            break;
        case 3:
            partition();
            break;
        case 4:
            stall(core, kStall);
            break;
        case 5:
            add_core();
            break;
        case 6:
            trace().add("shut-down " + std::to_string(core));
            cluster().cores().shut_down(core, false);
            break;
        case 7:
            reset_connection(core, (core + 1) % core_count());
            break;
        case 8:
        case 9:
            heal();
            break;
        case 10:
        case 11:
        case 12:
            start(core);
            break;
        default:
            operators().move();
            break;
    }
}

void ChaosPlay::cut_some() {
    for (std::uint64_t cuts = 1 + pick(3); cuts > 0; --cuts) {
        const std::size_t from = pick(core_count());
        const std::size_t to = pick(core_count());
        const bool one_way = pick(2) == 0;
        if (from == to) continue;
        trace().add((one_way ? "cut-link-one-way " : "cut-link ") + std::to_string(from) + " " +
                    std::to_string(to));
        cluster().network().cut(from, to, one_way);
    }
}

void ChaosPlay::partition() {
    const std::uint64_t sides = random()();
    for (std::size_t one = 0; one < core_count(); ++one) {
        if ((sides >> one & 1) == 0) continue;
        for (std::size_t other = 0; other < core_count(); ++other) {
            if ((sides >> other & 1) != 0) continue;
            trace().add("cut-link " + std::to_string(one) + " " + std::to_string(other));
            cluster().network().cut(one, other);
        }
    }
}

void ChaosPlay::add_core() {
    if (core_count() >= kMaxCores) return;
    trace().add("add");
    cluster().cores().add();
}

void ChaosPlay::recover() {
    heal();
    start_all();
    cluster().run_until(now() + kRecoveryTime);
    expect_recovered();
}

}  // namespace gannethold::cluster::simulation
