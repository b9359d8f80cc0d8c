#include "loss_play.hpp"

#include <algorithm>

namespace gannethold::cluster::simulation {
namespace {

constexpr Micros kCatchUp = 4'000'000;        // until the next loss may come
constexpr Micros kMaxLeaderless = 3'500'000;  // from a loss to a leader who acknowledges
constexpr Micros kMaxFounding = 8'000'000;
constexpr Micros kMaxAcknowledgement = 450'000;
constexpr Micros kLongCut = 20'000'000;
constexpr int kMinRounds = 2;
constexpr int kMoreRounds = 4;

PlaySetup make_setup(std::uint64_t seed, PlantedFault fault) {
    static constexpr std::size_t kCores[] = {3, 3, 5, 9};
    PlaySetup setup{std::mt19937_64(seed * 15485863 + 11), {}};
    setup.shape.cores = kCores[setup.random() % 4];
    setup.shape.seed = seed;
    setup.shape.delay = static_cast<Micros>(200 + setup.random() % 7'800);
    setup.shape.loss = setup.random() % 4 == 0 ? 0.01 : 0;
    setup.shape.fault = fault;
    return setup;
}

}  // namespace

LossPlay::LossPlay(std::uint64_t seed, PlantedFault fault) : SeededPlay(make_setup(seed, fault)) {}

void LossPlay::play() {
    found_cluster();
    const int rounds = kMinRounds + static_cast<int>(pick(kMoreRounds));
    for (int round = 0; round < rounds && !has_violation(); ++round) play_round();
    if (!has_violation()) expect_leader(now() - kMaxLeaderless);
}

void LossPlay::found_cluster() {
    const Micros until = now() + kMaxFounding;
    while (now() < until && cluster().cores().voter_count() < shape().cores)
        cluster().run_until(now() + 100'000);
    expect_members();
    operators().put(0);
    run_with_operators(now() + kCatchUp);
}

void LossPlay::play_round() {
    const Micros lost_at = now();
    const std::size_t tolerated = shape().cores == 3 ? 1 : 2;
    all_back_at_ = lost_at;
    lost_ = pick_cores(1 + pick(tolerated));
    if (pick(2) == 0) operators().put_concurrently();
    for (const std::size_t core : lost_) lose(core);
    run_with_operators(lost_at + kMaxLeaderless);
    expect_leader(lost_at);
    expect_acknowledgement();
    // Repairs may take longer than was expected as they began.
    while (now() < all_back_at_ + kCatchUp) run_with_operators(all_back_at_ + kCatchUp);
    cluster().network().heal();
    expect_members();
}

std::vector<std::size_t> LossPlay::living_cores() {
    std::vector<std::size_t> living;
    for (std::size_t core = 0; core < core_count(); ++core)
        if (!cluster().cores().at(core).retired) living.push_back(core);
    return living;
}

std::vector<std::size_t> LossPlay::pick_cores(std::size_t count) {
    std::vector<std::size_t> cores = living_cores();
    std::shuffle(cores.begin(), cores.end(), random());
    const std::optional<std::size_t> leader = cluster().cores().leader();
    if (leader && pick(2) == 0) std::iter_swap(cores.begin(), std::find(cores.begin(), cores.end(), *leader));
    cores.resize(count);
    return cores;
}

// ---- one loss

void LossPlay::lose(std::size_t core) {
    switch (pick(8)) {
        case 0:
            restart(core, false);
            break;
        case 1:
            restart(core, true);
            break;
        case 2:
        case 3:
            replace(core);
            break;
        case 4:
        case 5:
            replace_planned(core);
            break;
        case 6:
            cut_off(core);
            break;
        default:
            stall_for_a_while(core);
            break;
    }
}

void LossPlay::expect_back_at(Micros when) { all_back_at_ = std::max(all_back_at_, when); }

void LossPlay::restart(std::size_t core, bool wiped) {
    const Micros back_at = now() + pick_between(50'000, wiped ? 1'000'000 : 6'000'000);
    if (wiped)
        wipe(core);
    else
        kill(core);
    cluster().at(back_at, [this, core] { start(core); });
    expect_back_at(back_at);
}

void LossPlay::replace(std::size_t core) {
    const Micros back_at = now() + pick_between(50'000, 1'000'000);
    trace().add("retire " + std::to_string(core));
    cluster().cores().retire(core);
    cluster().at(back_at, [this, core] {
        trace().add("successor " + std::to_string(core));
        cluster().cores().add_successor(core);
    });
    expect_back_at(back_at);
}

void LossPlay::replace_planned(std::size_t core) {
    const Micros shutdown_at = now() + pick_between(0, 2'000'000);
    trace().add("successor " + std::to_string(core));
    cluster().cores().add_successor(core);
    cluster().at(shutdown_at, [this, core] {
        trace().add("shut-down " + std::to_string(core) + " for good");
        const int overdue_before = cluster().cores().overdue_shutdowns();
        cluster().cores().shut_down(core, true);
        watch_shutdown(core, overdue_before);
    });
    expect_back_at(shutdown_at);
}

void LossPlay::watch_shutdown(std::size_t core, int overdue_before) {
    constexpr Micros kWatchInterval = 50'000;
    expect_back_at(now());
    if (cluster().cores().overdue_shutdowns() > overdue_before)
        report("core " + std::to_string(core) + " couldn't end within its grace time");
    if (!cluster().cores().at(core).retired)
        cluster().at(now() + kWatchInterval,
                     [this, core, overdue_before] { watch_shutdown(core, overdue_before); });
}

void LossPlay::cut_off(std::size_t core) {
    enum class Direction : std::uint8_t { both, outbound, inbound };
    static constexpr const char* kActions[] = {"cut ", "cut-outbound ", "cut-inbound "};
    const std::uint64_t drawn = pick(3);
    const auto direction = static_cast<Direction>(drawn);
    const Micros healed_at = now() + (pick(2) == 0 ? kLongCut : pick_between(500'000, 8'000'000));
    trace().add(kActions[drawn] + std::to_string(core));
    for (std::size_t other = 0; other < core_count(); ++other) {
        if (other == core) continue;
        if (direction != Direction::inbound) cluster().network().cut(core, other, true);
        if (direction != Direction::outbound) cluster().network().cut(other, core, true);
    }
    cluster().at(healed_at, [this] { heal(); });
    expect_back_at(healed_at);
}

void LossPlay::stall_for_a_while(std::size_t core) {
    const Micros duration = pick_between(300'000, 6'000'000);
    stall(core, duration);
    expect_back_at(now() + duration);
}

// ---- time, and what must hold

void LossPlay::run_with_operators(Micros until) {
    while (now() < until) {
        cluster().run_until(std::min(until, now() + pick_between(30'000, 900'000)));
        if (now() >= until) return;
        if (!lost_.empty() && pick(2) == 0)
            operators().move_at(lost_[pick(lost_.size())]);
        else
            operators().move();
        if (pick(4) != 0) continue;
        const std::size_t one = pick(core_count());
        const std::size_t other = pick(core_count());
        reset_connection(one, other);
    }
}

void LossPlay::expect_leader(Micros lost_at) {
    if (cluster().cores().leader()) return;
    report("no leader " + seconds_text(now() - lost_at) +
           " s after a loss that must be tolerated: " + cluster().cores().describe());
}

void LossPlay::expect_acknowledgement() {
    const std::optional<std::size_t> leader = cluster().cores().leader();
    if (!leader) return;
    const int before = cluster().operators().counts().acknowledged;
    operators().put(*leader);
    cluster().run_until(now() + kMaxAcknowledgement);
    if (cluster().operators().counts().acknowledged == before)
        report("the leader acknowledges nothing after a loss that must be tolerated: " +
               cluster().cores().describe());
}

void LossPlay::expect_members() {
    if (has_violation()) return;
    const std::size_t voters = cluster().cores().voter_count();
    if (voters != shape().cores)
        report(std::to_string(voters) + " voters at catch-up: " + cluster().cores().describe());
    else if (!cluster().cores().has_only_live_voters())
        report("a retired machine is still a voter at catch-up: " + cluster().cores().describe());
    else
        expect_nothing_lost();
}

}  // namespace gannethold::cluster::simulation
