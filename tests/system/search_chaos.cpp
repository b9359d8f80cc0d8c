#include "search_chaos.hpp"

#include <algorithm>

namespace gannethold::cluster::played {
namespace {

constexpr Micros kFirst = 1'500'000;     // before the first trouble
constexpr Micros kSpan = 20'000'000;     // of troubles
constexpr Micros kRecover = 12'000'000;  // votes may be split a few times
constexpr std::size_t kMostCores = 8;

}  // namespace

ChaosPlay::ChaosPlay(std::uint64_t seed, Sabotage sabotage)
    : random_(seed * 32452843 + 7),
      shape_(shape_of(seed, sabotage)),
      world_(shape_),
      story_(world_),
      operators_(world_, story_, [this](std::uint64_t n) { return pick(n); }) {
    story_.first("cores " + std::to_string(shape_.cores) + " seeds 3 delay " +
                 std::to_string(static_cast<double>(shape_.delay) / 1e3) + " loss " +
                 std::to_string(shape_.loss) + " seed " + std::to_string(seed));
}

World::Shape ChaosPlay::shape_of(std::uint64_t seed, Sabotage sabotage) {
    World::Shape shape;
    shape.cores = 3 + pick(3);
    shape.seed = seed;
    shape.delay = static_cast<Micros>(200 + pick(20'000));
    shape.loss = pick(2) == 0 ? 0.05 : 0;
    shape.sabotage = sabotage;
    return shape;
}

Played ChaosPlay::run() {
    const Micros start = world_.now();
    world_.run(start + kFirst);
    while (world_.now() < start + kSpan && world_.breaches.empty()) {
        trouble();
        if (pick(2) == 0) operators_.any();
        world_.run(world_.now() + static_cast<Micros>(5'000 + pick(pick(3) == 0 ? 1'500'000 : 150'000)));
    }
    if (world_.breaches.empty()) end();
    return {world_.breaches, story_.text(), world_.digest()};
}

void ChaosPlay::trouble() {
    const std::size_t core = pick(world_.cores());
    const std::string which = std::to_string(core);
    switch (pick(16)) {
        case 0:
            story_.say("kill " + which);
            world_.kill_core(core);
            break;
        case 1:
            story_.say("crash " + which);
            world_.crash_in_write(core);
            break;
        case 2:
            cut_some();
            break;
        case 3:
            split();
            break;
        case 4:
            story_.say("stall " + which + " 1.2");
            world_.stall_core(core, 1'200'000);
            break;
        case 5:
            come();
            break;
        case 6:
            story_.say("end " + which);
            world_.end_core(core, false);
            break;
        case 7:
            story_.say("reset " + which + " " + std::to_string((core + 1) % world_.cores()));
            world_.reset_link(core, (core + 1) % world_.cores());
            break;
        case 8:
        case 9:
            story_.say("heal");
            world_.heal();
            break;
        case 10:
        case 11:
        case 12:
            story_.say("start " + which);
            world_.start_core(core);
            break;
        default:
            operators_.any();
            break;
    }
}

void ChaosPlay::cut_some() {
    for (std::uint64_t n = 1 + pick(3); n > 0; --n) {
        const std::size_t a = pick(world_.cores()), b = pick(world_.cores());
        const bool one_way = pick(2) == 0;
        story_.say("cut " + std::to_string(a) + " from " + std::to_string(b) + (one_way ? " one-way" : ""));
        if (a != b) world_.cut(a, b, one_way);
    }
}

// Into two parts that do not hear each other.
void ChaosPlay::split() {
    const std::uint64_t part = random_();
    std::string names;
    for (std::size_t a = 0; a < world_.cores(); ++a) {
        if ((part >> a & 1) == 0) continue;
        names += " " + std::to_string(a);
        for (std::size_t b = 0; b < world_.cores(); ++b)
            if ((part >> b & 1) == 0) world_.cut(a, b);
    }
    story_.say("split" + names);
}

void ChaosPlay::come() {
    if (world_.cores() >= kMostCores) return;
    story_.say("add");
    world_.add_core();
}

void ChaosPlay::end() {
    story_.say("heal");
    story_.say("start all");
    world_.heal();
    for (std::size_t i = 0; i < world_.cores(); ++i) world_.start_core(i);
    world_.run(world_.now() + kRecover);
    if (!world_.leader())
        world_.breaches.push_back("no leader though all is well again: " + world_.told());
    else if (world_.committed() < world_.acknowledged())
        world_.breaches.push_back("acknowledged " + std::to_string(world_.acknowledged()) +
                                  " and committed " + std::to_string(world_.committed()));
}

}  // namespace gannethold::cluster::played
