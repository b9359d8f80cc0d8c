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
#include <sstream>
#include <thread>

#include "world.hpp"

using namespace gannethold;
using namespace gannethold::cluster;
using namespace gannethold::cluster::played;

namespace {

struct Played {
    std::vector<std::string> breaches;
    std::string story;
};

Played play(std::uint64_t seed, Sabotage sabotage) {
    std::mt19937_64 random(seed * 104729 + 3);
    const auto pick = [&](std::uint64_t n) { return random() % n; };
    World::Shape shape;
    shape.cores = pick(4) == 0 ? 5 : 3;
    shape.seeds = 3;
    shape.fronts = pick(6) == 0 ? 3 : 0;
    shape.seed = seed;
    shape.delay = static_cast<Micros>(200 + pick(4) * 3'000);
    shape.loss = pick(3) == 0 ? 0.02 : 0;
    shape.sabotage = sabotage;
    World world(shape);
    world.services.push_back({"a", 2, 600, 128, 1500, 4000, true, 2});
    world.services.push_back({"b", 1, 600, 128, 1500, 4000, false, 1});
    world.services.push_back(
        {"u", 1, 600, 128, 400, 4000, true, 2, "b", 0});  // urgent work of the same function
    std::ostringstream story;
    story << "cores " << shape.cores << " seeds 3 fronts " << shape.fronts << " delay "
          << static_cast<double>(shape.delay) / 1e3 << " loss " << shape.loss << " seed " << seed << "\n";
    const Micros start = world.now();
    Micros at = start + 2'500'000;
    Number version = 0;
    Micros down_until = 0;  // else one at a time
    const auto say = [&](const std::string& text) {
        story << "at " << static_cast<double>(at - start) / 1e6 << " " << text << "\n";
    };
    const Micros end = start + 9'000'000;
    while (at < end) {
        world.run(at);
        const bool whole = at >= down_until;
        const std::size_t i = pick(world.cores());
        if (pick(2) == 0) {
            const Number v = version + 1 + pick(3);
            const std::string mark(1, static_cast<char>('a' + pick(26)));
            // Two operators at once, now and then with the same number.
            for (std::size_t n = 0; n <= pick(2); ++n) {
                const std::size_t where = pick(world.cores());
                world.put(v, where, mark + std::to_string(n));
                say("put " + std::to_string(v) + " " + std::to_string(where) + " " + mark +
                    std::to_string(n));
            }
            version = std::max(version, v);
        } else if (whole && i < world.cores()) {
            const Micros span = static_cast<Micros>(300'000 + pick(2'500'000));
            const std::string which = std::to_string(i);
            const std::size_t f = shape.fronts > 0 ? pick(shape.fronts) : 0;
            // Troubles of fronts: the coordinator's words come up to 2 s late, a path is cut, a process goes.
            if (shape.fronts > 0 && pick(2) == 0) switch (pick(3)) {
                    case 0:
                        world.delay_front(f, static_cast<Micros>(pick(2'000'000))),
                            say("words to front " + std::to_string(f) + " come late");
                        break;
                    case 1:
                        world.cut_front(f, true), say("front " + std::to_string(f) + " off");
                        world.at(world.now() + span, [&world, f] { world.cut_front(f, false); });
                        break;
                    default:
                        world.kill_front(f), say("front " + std::to_string(f) + " killed");
                        break;
                }
            switch (pick(12)) {
                case 0:
                    world.kill_core(i), say("kill " + which);
                    break;
                case 1:
                    world.kill_core(i, true), say("wipe " + which);
                    break;
                case 2:
                    world.crash_in_write(i), say("crash " + which);
                    break;
                case 3:
                    for (std::size_t o = 0; o < world.cores(); ++o)
                        if (o != i) world.cut(i, o, false);
                    say("cut " + which);
                    break;
                case 4:
                    for (std::size_t o = 0; o < world.cores(); ++o)
                        if (o != i) world.cut(i, o, true);
                    say("cut " + which + " one-way");
                    break;
                case 5:
                    for (std::size_t o = 0; o < world.cores(); ++o)
                        if (o != i) world.cut(o, i, true);
                    say("hear " + which);
                    break;
                case 6:
                    world.stall_core(i, span),
                        say("stall " + which + " " + std::to_string(static_cast<double>(span) / 1e6));
                    break;
                case 7:
                    world.disk(i, false), say("disk " + which + " full");
                    break;
                case 8:
                    for (std::size_t o = 0; o < world.cores(); ++o) world.kill_core(o);
                    say("kill all");
                    break;
                default: {
                    // One lags behind a change; then of those who have it one crashes as it writes, or loses
                    // its disk, and the leader is away when the other two are back. Nothing may be lost,
                    // though little may go on.
                    const auto leader = world.leader();
                    if (!leader || *leader == i) break;
                    for (std::size_t o = 0; o < world.cores(); ++o)
                        if (o != i) world.cut(i, o, false);
                    say("cut " + which);
                    const std::size_t j = (i + 1 + (*leader == (i + 1) % world.cores())) % world.cores();
                    const bool crash = pick(2) == 0;
                    if (crash) world.crash_in_write(j), say("crash " + std::to_string(j));
                    world.put(++version, *leader, "x"),
                        say("put " + std::to_string(version) + " " + std::to_string(*leader) + " x");
                    world.run(at += static_cast<Micros>(shape.delay * static_cast<Micros>(2 + pick(14))));
                    if (!crash) world.kill_core(j, true), say("wipe " + std::to_string(j));
                    world.kill_core(*leader), say("kill " + std::to_string(*leader));
                    if (world.cores() > 3)
                        for (std::size_t o = 0; o < world.cores(); ++o)
                            if (o != i && o != j && pick(2) == 0)
                                world.kill_core(o), say("kill " + std::to_string(o));
                    world.heal(), say("heal");
                    world.start_core(j), say("start " + std::to_string(j));
                    world.run(at += 3'000'000);
                    break;
                }
            }
            // Back after a while, and whole again some time after that.
            at += span;
            at = std::max(at, world.now());
            world.run(at);
            world.heal();
            world.disk(i, true);
            for (std::size_t o = 0; o < world.cores(); ++o) world.start_core(o);
            say("heal"), say("disk " + which + " works"), say("start all");
            down_until = at + 1'600'000;
        }
        if (shape.fronts > 0)
            for (std::size_t f = 0; f < shape.fronts; ++f)
                for (int n = 0; n < 6; ++n) {
                    const char* const names[] = {"a", "b", "u"};
                    world.request(f, names[pick(3)], static_cast<int>(40 + pick(200)), 3000);
                }
        at += static_cast<Micros>(20'000 + pick(400'000));
    }
    world.heal();
    for (std::size_t o = 0; o < world.cores(); ++o) world.disk(o, true), world.start_core(o);
    // Votes may be split a few times, and one that lost its disk gives none for two terms.
    at = std::max(at, world.now()) + 9'000'000;
    world.run(at);
    if (!world.leader())
        world.breaches.push_back("no leader though all is well again: " + world.told());
    else if (world.committed() < world.acknowledged())
        world.breaches.push_back("acknowledged " + std::to_string(world.acknowledged()) + " and committed " +
                                 std::to_string(world.committed()));
    // Chance may find a free runner full; kept ones are never given too much while the coordinator stays.
    say("expect leaders = 1"),
        say("expect committed > " + std::to_string(world.acknowledged() == 0 ? 0 : world.acknowledged() - 1));
    return {world.breaches, story.str()};
}

}  // namespace

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
                const Played played = play(seed, sabotage);
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
