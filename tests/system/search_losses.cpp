#include "search_losses.hpp"

#include <algorithm>

namespace gannethold::cluster::played {
namespace {

constexpr Micros kCatchUp = 4'000'000;      // after which the next loss may come
constexpr Micros kLeaderBound = 3'500'000;  // from a loss to a leader who confirms
constexpr Micros kFoundedBound = 8'000'000;
constexpr Micros kConfirmBound = 450'000;
constexpr int kLeastRounds = 2, kMoreRounds = 4;

std::string seconds(Micros span) { return std::to_string(static_cast<double>(span) / 1e6); }

}  // namespace

LossPlay::LossPlay(std::uint64_t seed, Sabotage sabotage)
    : random_(seed * 15485863 + 11),
      shape_(shape_of(seed, sabotage)),
      world_(shape_),
      story_(world_),
      operators_(world_, story_, [this](std::uint64_t n) { return pick(n); }) {
    story_.first("cores " + std::to_string(shape_.cores) + " seeds 3 delay " +
                 std::to_string(static_cast<double>(shape_.delay) / 1e3) + " loss " +
                 std::to_string(shape_.loss) + " seed " + std::to_string(seed));
}

World::Shape LossPlay::shape_of(std::uint64_t seed, Sabotage sabotage) {
    static constexpr std::size_t kCores[] = {3, 3, 5, 9};
    World::Shape shape;
    shape.cores = kCores[pick(4)];
    shape.seed = seed;
    shape.delay = between(200, 8'000);
    shape.loss = pick(4) == 0 ? 0.01 : 0;
    shape.sabotage = sabotage;
    return shape;
}

Micros LossPlay::between(Micros least, Micros most) {
    return least + static_cast<Micros>(pick(static_cast<std::uint64_t>(most - least)));
}

Played LossPlay::run() {
    found();
    const int rounds = kLeastRounds + static_cast<int>(pick(kMoreRounds));
    for (int round = 0; round < rounds && world_.breaches.empty(); ++round) lose();
    if (world_.breaches.empty()) expect_leader(world_.now() - kLeaderBound);
    return {world_.breaches, story_.text(), world_.digest()};
}

void LossPlay::found() {
    const Micros until = world_.now() + kFoundedBound;
    while (world_.now() < until && world_.members() < shape_.cores) world_.run(world_.now() + 100'000);
    expect_members();
    operators_.put(0);
    pass(world_.now() + kCatchUp);
}

std::vector<std::size_t> LossPlay::living() const {
    std::vector<std::size_t> all;
    for (std::size_t i = 0; i < world_.cores(); ++i)
        if (!world_.is_retired(i)) all.push_back(i);
    return all;
}

std::vector<std::size_t> LossPlay::drawn(std::size_t count) {
    std::vector<std::size_t> all = living();
    std::shuffle(all.begin(), all.end(), random_);
    const auto leader = world_.leader();
    if (leader && pick(2) == 0) std::iter_swap(all.begin(), std::find(all.begin(), all.end(), *leader));
    all.resize(count);
    return all;
}

void LossPlay::lose() {
    const Micros lost_at = world_.now();
    const std::size_t tolerance = shape_.cores == 3 ? 1 : 2;
    whole_at_ = lost_at;
    lost_ = drawn(1 + pick(tolerance));
    if (pick(2) == 0) operators_.puts();
    for (const std::size_t core : lost_) lose_one(core);
    pass(lost_at + kLeaderBound);
    expect_leader(lost_at);
    expect_confirmation();
    // Repairs may take longer than what was foreseen as they began.
    while (world_.now() < whole_at_ + kCatchUp) pass(whole_at_ + kCatchUp);
    world_.heal();
    expect_members();
}

void LossPlay::back_at(Micros when) { whole_at_ = std::max(whole_at_, when); }

void LossPlay::lose_one(std::size_t core) {
    switch (pick(8)) {
        case 0:
            return restart(core, false);
        case 1:
            return restart(core, true);
        case 2:
        case 3:
            return replace(core);
        case 4:
        case 5:
            return replace_planned(core);
        case 6:
            return cut(core);
        default:
            return freeze(core);
    }
}

void LossPlay::restart(std::size_t core, bool wiped) {
    const Micros away = between(50'000, wiped ? 1'000'000 : 6'000'000);
    const std::string which = std::to_string(core);
    story_.say((wiped ? "wipe " : "kill ") + which);
    world_.kill_core(core, wiped);
    world_.at(world_.now() + away, [this, core, which] {
        story_.say("start " + which);
        world_.start_core(core);
    });
    back_at(world_.now() + away);
}

void LossPlay::replace(std::size_t core) {
    const Micros away = between(50'000, 1'000'000);
    story_.say("retire " + std::to_string(core));
    world_.retire_core(core);
    world_.at(world_.now() + away, [this, core] {
        story_.say("successor " + std::to_string(core));
        world_.add_successor(core);
    });
    back_at(world_.now() + away);
}

// The new one first; the old one leaves up to 2 s later.
void LossPlay::replace_planned(std::size_t core) {
    const Micros later = between(0, 2'000'000);
    story_.say("successor " + std::to_string(core));
    world_.add_successor(core);
    world_.at(world_.now() + later, [this, core] {
        story_.say("end " + std::to_string(core) + " for good");
        const int before = world_.ends_after_grace;
        world_.end_core(core, true);
        const auto watch = [this, core, before](const auto& self) -> void {
            back_at(world_.now());
            if (world_.ends_after_grace > before)
                world_.breaches.push_back("core " + std::to_string(core) +
                                          " was not let go in its grace time");
            if (!world_.is_retired(core)) world_.at(world_.now() + 50'000, [self] { self(self); });
        };
        watch(watch);
    });
    back_at(world_.now() + later);
}

void LossPlay::cut(std::size_t core) {
    const std::uint64_t how = pick(3);  // both ways, what it says, what it hears
    static constexpr const char* kHow[] = {"", " one-way", " deaf"};
    const Micros span = pick(2) == 0 ? 20'000'000 : between(500'000, 8'000'000);
    story_.say("cut " + std::to_string(core) + kHow[how] + " for " + seconds(span));
    for (std::size_t other = 0; other < world_.cores(); ++other) {
        if (other == core) continue;
        if (how != 2) world_.cut(core, other, true);
        if (how != 1) world_.cut(other, core, true);
    }
    world_.at(world_.now() + span, [this] {
        story_.say("heal");
        world_.heal();
    });
    back_at(world_.now() + span);
}

void LossPlay::freeze(std::size_t core) {
    const Micros span = between(300'000, 6'000'000);
    story_.say("stall " + std::to_string(core) + " " + seconds(span));
    world_.stall_core(core, span);
    back_at(world_.now() + span);
}

// Meanwhile operators and fronts go on, at those who were lost as well.
void LossPlay::pass(Micros until) {
    while (world_.now() < until) {
        world_.run(std::min(until, world_.now() + between(30'000, 900'000)));
        if (world_.now() >= until) return;
        if (!lost_.empty() && pick(2) == 0)
            operators_.any_at(lost_[pick(lost_.size())]);
        else
            operators_.any();
        if (pick(4) != 0) continue;
        const std::size_t a = pick(world_.cores()), b = pick(world_.cores());
        story_.say("reset " + std::to_string(a) + " " + std::to_string(b));
        world_.reset_link(a, b);
    }
}

void LossPlay::expect_leader(Micros lost_at) {
    if (world_.leader()) return;
    world_.breaches.push_back("no leader " + seconds(world_.now() - lost_at) +
                              " s after a loss that may come: " + world_.told());
}

void LossPlay::expect_confirmation() {
    const auto leader = world_.leader();
    if (!leader) return;
    const int before = world_.confirmations;
    operators_.put(*leader);
    world_.run(world_.now() + kConfirmBound);
    if (world_.confirmations == before)
        world_.breaches.push_back("the leader confirms nothing after a loss that may come: " + world_.told());
}

void LossPlay::expect_members() {
    if (!world_.breaches.empty()) return;
    if (world_.members() != shape_.cores)
        world_.breaches.push_back(std::to_string(world_.members()) + " voters at catch-up: " + world_.told());
    else if (!world_.voters_live())
        world_.breaches.push_back("a machine that went for good votes still at catch-up: " + world_.told());
    else if (world_.committed() < world_.acknowledged())
        world_.breaches.push_back("acknowledged " + std::to_string(world_.acknowledged()) +
                                  " and committed " + std::to_string(world_.committed()));
}

}  // namespace gannethold::cluster::played
