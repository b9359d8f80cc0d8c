#include "search_play.hpp"

#include <algorithm>

namespace gannethold::cluster::played {
namespace {

constexpr Micros kFirst = 2'500'000;  // before the first trouble: a core is founded
constexpr Micros kSpan = 9'000'000;   // from the start until no more troubles come
constexpr Micros kLongSpan = 20'000'000;
constexpr std::uint64_t kLosesAnswersEach = 3;  // of so many seeds one
constexpr double kAnswersLost = 0.1;
constexpr Micros kWhole = 1'600'000;    // after a trouble, until the next
constexpr Micros kRecover = 9'000'000;  // votes may be split a few times, and one that lost its disk gives
                                        // none for two terms

}  // namespace

Play::Play(std::uint64_t seed, Sabotage sabotage)
    : random_(seed * 104729 + 3),
      shape_(shape_of(seed, sabotage)),
      world_(shape_),
      story_(world_),
      operators_(world_, story_, [this](std::uint64_t n) { return pick(n); }),
      start_(world_.now()),
      at_(start_ + kFirst) {
    world_.services.push_back({"a", 2, 600, 128, 1500, 4000, true, 2});
    world_.services.push_back({"b", 1, 600, 128, 1500, 4000, false, 1});
    // Urgent work of the same function.
    world_.services.push_back({"u", 1, 600, 128, 400, 4000, true, 2, "b", 0});
    story_.first("cores " + std::to_string(shape_.cores) + " seeds 3 fronts " +
                 std::to_string(shape_.fronts) + " delay " +
                 std::to_string(static_cast<double>(shape_.delay) / 1e3) + " loss " +
                 std::to_string(shape_.loss) + " seed " + std::to_string(seed));
    // Answers of runners are lost in some of them, after the run.
    if (seed % kLosesAnswersEach != 0) return;
    world_.answers_lost(kAnswersLost);
    say("answers-lost " + std::to_string(kAnswersLost));
}

World::Shape Play::shape_of(std::uint64_t seed, Sabotage sabotage) {
    World::Shape shape;
    shape.cores = pick(4) == 0 ? 5 : 3;
    shape.seeds = 3;
    shape.fronts = pick(6) == 0 ? 3 : 0;
    shape.seed = seed;
    shape.delay = static_cast<Micros>(200 + pick(4) * 3'000);
    shape.loss = pick(3) == 0 ? 0.02 : 0;
    shape.sabotage = sabotage;
    return shape;
}

Played Play::run() {
    while (at_ < start_ + kSpan) {
        at_ = std::max(at_, world_.now());
        world_.run(at_);
        const bool whole = at_ >= down_until_;
        const std::size_t core = pick(world_.cores());
        if (pick(2) == 0)
            operators_.any();
        else if (whole)
            trouble(core);
        requests();
        at_ += static_cast<Micros>(20'000 + pick(400'000));
    }
    end();
    return {world_.breaches, story_.text(), world_.digest()};
}

void Play::pass(std::size_t core, Micros until) {
    while (at_ < until) {
        at_ = std::min(until, at_ + static_cast<Micros>(50'000 + pick(1'000'000)));
        world_.run(at_);
        if (at_ < until) operators_.any_at(pick(2) == 0 ? core : pick(world_.cores()));
    }
}

void Play::trouble(std::size_t core) {
    const Micros span = pick(8) == 0 ? kLongSpan : static_cast<Micros>(300'000 + pick(2'500'000));
    trouble_of_front(span);
    trouble_of_core(core, span);
    // Back after a while, and whole again some time after that.
    at_ = std::max(at_, world_.now());
    pass(core, at_ + span);
    world_.heal();
    world_.disk(core, true);
    for (std::size_t o = 0; o < world_.cores(); ++o) world_.start_core(o);
    say("heal");
    say("disk " + std::to_string(core) + " works");
    say("start all");
    down_until_ = at_ + kWhole;
}

// The coordinator's words come up to 2 s late, a path is cut, a process goes.
void Play::trouble_of_front(Micros span) {
    const std::size_t f = shape_.fronts > 0 ? pick(shape_.fronts) : 0;
    if (shape_.fronts == 0 || pick(2) != 0) return;
    switch (pick(3)) {
        case 0:
            world_.delay_front(f, static_cast<Micros>(pick(2'000'000)));
            say("words to front " + std::to_string(f) + " come late");
            break;
        case 1:
            world_.cut_front(f, true);
            say("front " + std::to_string(f) + " off");
            world_.at(world_.now() + span, [this, f] { world_.cut_front(f, false); });
            break;
        default:
            world_.kill_front(f);
            say("front " + std::to_string(f) + " killed");
            break;
    }
}

void Play::trouble_of_core(std::size_t core, Micros span) {
    const std::string which = std::to_string(core);
    const auto others = [&](const auto& what) {
        for (std::size_t o = 0; o < world_.cores(); ++o)
            if (o != core) what(o);
    };
    switch (pick(12)) {
        case 0:
            world_.kill_core(core);
            say("kill " + which);
            break;
        case 1:
            world_.kill_core(core, true);
            say("wipe " + which);
            break;
        case 2:
            world_.crash_in_write(core);
            say("crash " + which);
            break;
        case 3:
            others([&](std::size_t o) { world_.cut(core, o, false); });
            say("cut " + which);
            break;
        case 4:
            others([&](std::size_t o) { world_.cut(core, o, true); });
            say("cut " + which + " one-way");
            break;
        case 5:
            others([&](std::size_t o) { world_.cut(o, core, true); });
            say("hear " + which);
            break;
        case 6:
            world_.stall_core(core, span);
            say("stall " + which + " " + std::to_string(static_cast<double>(span) / 1e6));
            break;
        case 7:
            world_.disk(core, false);
            say("disk " + which + " full");
            break;
        case 8:
            for (std::size_t o = 0; o < world_.cores(); ++o) world_.kill_core(o);
            say("kill all");
            break;
        default:
            lose_while_one_lags(core);
            break;
    }
}

// One lags behind a change; then of those who have it one crashes as it writes, or loses its disk, and the
// leader is away when the other two are back. Nothing may be lost, though little may go on.
void Play::lose_while_one_lags(std::size_t lagging) {
    const auto leader = world_.leader();
    if (!leader || *leader == lagging) return;
    for (std::size_t o = 0; o < world_.cores(); ++o)
        if (o != lagging) world_.cut(lagging, o, false);
    say("cut " + std::to_string(lagging));
    const std::size_t loser = (lagging + 1 + (*leader == (lagging + 1) % world_.cores())) % world_.cores();
    const bool crash = pick(2) == 0;
    if (crash) {
        world_.crash_in_write(loser);
        say("crash " + std::to_string(loser));
    }
    operators_.put(*leader);
    at_ += static_cast<Micros>(shape_.delay * static_cast<Micros>(2 + pick(14)));
    world_.run(at_);
    if (!crash) {
        world_.kill_core(loser, true);
        say("wipe " + std::to_string(loser));
    }
    world_.kill_core(*leader);
    say("kill " + std::to_string(*leader));
    if (world_.cores() > 3)
        for (std::size_t o = 0; o < world_.cores(); ++o)
            if (o != lagging && o != loser && pick(2) == 0) {
                world_.kill_core(o);
                say("kill " + std::to_string(o));
            }
    world_.heal();
    say("heal");
    world_.start_core(loser);
    say("start " + std::to_string(loser));
    at_ += 3'000'000;
    world_.run(at_);
}

void Play::requests() {
    static constexpr const char* kNames[] = {"a", "b", "u"};
    for (std::size_t f = 0; f < shape_.fronts; ++f)
        for (int n = 0; n < 6; ++n) {
            const int work = static_cast<int>(40 + pick(200));
            world_.request(f, kNames[pick(3)], work, 3000);
        }
}

void Play::end() {
    world_.heal();
    for (std::size_t o = 0; o < world_.cores(); ++o) {
        world_.disk(o, true);
        world_.start_core(o);
    }
    at_ = std::max(at_, world_.now()) + kRecover;
    world_.run(at_);
    if (!world_.leader())
        world_.breaches.push_back("no leader though all is well again: " + world_.told());
    else if (world_.committed() < world_.acknowledged())
        world_.breaches.push_back("acknowledged " + std::to_string(world_.acknowledged()) +
                                  " and committed " + std::to_string(world_.committed()));
    // Chance may find a free runner full; kept ones are never given too much while the coordinator stays.
    const Number least = world_.acknowledged() == 0 ? 0 : world_.acknowledged() - 1;
    say("expect leaders = 1");
    say("expect committed > " + std::to_string(least));
}

}  // namespace gannethold::cluster::played
