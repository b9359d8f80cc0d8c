#include "single_fault_play.hpp"

#include <algorithm>

namespace gannethold::cluster::simulation {
namespace {

constexpr Micros kBeforeFaults = 2'500'000;  // the cluster is founded
constexpr Micros kFaultsSpan = 9'000'000;    // from the start of the play
constexpr Micros kLongFault = 20'000'000;
constexpr std::uint64_t kSeedsPerAnswerLoss = 3;  // one of so many seeds loses runners' answers
constexpr double kAnswerLoss = 0.1;
constexpr Micros kRepairTime = 1'600'000;  // after a fault, until the next
// Votes may be split a few times, and a core that lost its disk gives none for two terms.
constexpr Micros kRecoveryTime = 9'000'000;
constexpr Micros kRejoinTime = 3'000'000;
constexpr int kRequestsPerStep = 6;
constexpr int kRequestTimeoutMs = 3000;

PlaySetup make_setup(std::uint64_t seed, PlantedFault fault) {
    PlaySetup setup{std::mt19937_64(seed * 104729 + 3), {}};
    setup.shape.cores = setup.random() % 4 == 0 ? 5 : 3;
    setup.shape.seeds = 3;
    setup.shape.proxies = setup.random() % 6 == 0 ? 3 : 0;
    setup.shape.seed = seed;
    setup.shape.delay = static_cast<Micros>(200 + setup.random() % 4 * 3'000);
    setup.shape.loss = setup.random() % 3 == 0 ? 0.02 : 0;
    setup.shape.fault = fault;
    return setup;
}

ServiceSpec make_service(const std::string& name, std::uint32_t max_concurrency, bool idempotent) {
    ServiceSpec spec;
    spec.name = name;
    spec.max_concurrency = max_concurrency;
    spec.boot_ms = 600;
    spec.idempotent = idempotent;
    spec.max_attempts = idempotent ? 2 : 1;
    return spec;
}

}  // namespace

SingleFaultPlay::SingleFaultPlay(std::uint64_t seed, PlantedFault fault)
    : SeededPlay(make_setup(seed, fault)), start_(now()), time_(start_ + kBeforeFaults) {
    ServiceSpec urgent = make_service("u", 1, true);
    urgent.latency_target_ms = 400;
    urgent.route_to = "b";
    urgent.priority = 0;
    cluster().configuration().services = {make_service("a", 2, true), make_service("b", 1, false), urgent};
    if (seed % kSeedsPerAnswerLoss != 0) return;
    cluster().requests().set_answer_loss(kAnswerLoss);
    trace().add("answers-lost " + std::to_string(kAnswerLoss));
}

void SingleFaultPlay::play() {
    while (time_ < start_ + kFaultsSpan) {
        time_ = std::max(time_, now());
        cluster().run_until(time_);
        const bool is_repaired = time_ >= repaired_until_;
        const std::size_t core = pick(core_count());
        if (pick(2) == 0)
            operators().move();
        else if (is_repaired)
            inject_fault(core);
        send_requests();
        time_ += static_cast<Micros>(20'000 + pick(400'000));
    }
    recover();
}

void SingleFaultPlay::run_with_operators(std::size_t core, Micros until) {
    while (time_ < until) {
        time_ = std::min(until, time_ + static_cast<Micros>(50'000 + pick(1'000'000)));
        cluster().run_until(time_);
        if (time_ < until) operators().move_at(pick(2) == 0 ? core : pick(core_count()));
    }
}

void SingleFaultPlay::inject_fault(std::size_t core) {
    const Micros duration = pick(8) == 0 ? kLongFault : static_cast<Micros>(300'000 + pick(2'500'000));
    inject_proxy_fault(duration);
    inject_core_fault(core, duration);
    time_ = std::max(time_, now());
    run_with_operators(core, time_ + duration);
    heal();
    trace().add("disk " + std::to_string(core) + " works");
    cluster().cores().set_disk_works(core, true);
    start_all();
    repaired_until_ = time_ + kRepairTime;
}

// The coordinator's messages arrive up to 2 s late, a path is cut, or a process is killed.
void SingleFaultPlay::inject_proxy_fault(Micros duration) {
    const std::size_t proxy = shape().proxies > 0 ? pick(shape().proxies) : 0;
    if (shape().proxies == 0 || pick(2) != 0) return;
    const std::string name = std::to_string(proxy);
    switch (pick(3)) {
        case 0: {
            const auto delay = static_cast<Micros>(pick(2'000'000));
            trace().add("delay-proxy " + name + " " + seconds_text(delay));
            cluster().proxies().delay_messages(proxy, delay);
            break;
        }
        case 1:
            trace().add("proxy " + name + " off");
            cluster().proxies().set_cut_off(proxy, true);
            cluster().at(now() + duration, [this, proxy, name] {
                trace().add("proxy " + name + " on");
                cluster().proxies().set_cut_off(proxy, false);
            });
            break;
        default:
            trace().add("kill-proxy " + name);
            cluster().proxies().kill(proxy);
            break;
    }
}

void SingleFaultPlay::inject_core_fault(std::size_t core, Micros duration) {
    switch (pick(12)) {
        case 0:
            kill(core);
            break;
        case 1:
            wipe(core);
            break;
        case 2:
            crash_at_next_write(core);
            break;
        case 3:
            cut(core);
            break;
        case 4:
            cut_outbound(core);
            break;
        case 5:
            cut_inbound(core);
            break;
        case 6:
            stall(core, duration);
            break;
        case 7:
            trace().add("disk " + std::to_string(core) + " full");
            cluster().cores().set_disk_works(core, false);
            break;
        case 8:
            for (std::size_t other = 0; other < core_count(); ++other) kill(other);
            break;
        default:
            lose_while_one_lags(core);
            break;
    }
}

void SingleFaultPlay::cut(std::size_t core) {
    trace().add("cut " + std::to_string(core));
    for (std::size_t other = 0; other < core_count(); ++other)
        if (other != core) cluster().network().cut(core, other);
}

void SingleFaultPlay::cut_outbound(std::size_t core) {
    trace().add("cut-outbound " + std::to_string(core));
    for (std::size_t other = 0; other < core_count(); ++other)
        if (other != core) cluster().network().cut(core, other, true);
}

void SingleFaultPlay::cut_inbound(std::size_t core) {
    trace().add("cut-inbound " + std::to_string(core));
    for (std::size_t other = 0; other < core_count(); ++other)
        if (other != core) cluster().network().cut(other, core, true);
}

void SingleFaultPlay::lose_while_one_lags(std::size_t lagging) {
    const std::optional<std::size_t> leader = cluster().cores().leader();
    if (!leader || *leader == lagging) return;
    cut(lagging);
    const std::size_t next = (lagging + 1) % core_count();
    const std::size_t loser = *leader == next ? (lagging + 2) % core_count() : next;
    const bool crashes = pick(2) == 0;
    if (crashes) crash_at_next_write(loser);
    operators().put(*leader);
    time_ += shape().delay * static_cast<Micros>(2 + pick(14));
    cluster().run_until(time_);
    if (!crashes) wipe(loser);
    kill(*leader);
    if (core_count() > 3) kill_by_chance(lagging, loser);
    heal();
    start(loser);
    time_ += kRejoinTime;
    cluster().run_until(time_);
}

void SingleFaultPlay::kill_by_chance(std::size_t lagging, std::size_t loser) {
    for (std::size_t other = 0; other < core_count(); ++other)
        if (other != lagging && other != loser && pick(2) == 0) kill(other);
}

void SingleFaultPlay::send_requests() {
    static constexpr const char* kRoutes[] = {"a", "b", "u"};
    for (std::size_t proxy = 0; proxy < shape().proxies; ++proxy)
        for (int n = 0; n < kRequestsPerStep; ++n) {
            const int work_ms = static_cast<int>(40 + pick(200));
            cluster().proxies().request(proxy, kRoutes[pick(3)], work_ms, kRequestTimeoutMs);
        }
}

void SingleFaultPlay::recover() {
    heal();
    for (std::size_t core = 0; core < core_count(); ++core) {
        cluster().cores().set_disk_works(core, true);
        cluster().cores().start(core);
    }
    time_ = std::max(time_, now()) + kRecoveryTime;
    cluster().run_until(time_);
    expect_recovered();
    const Number acknowledged = cluster().checker().acknowledged();
    trace().add("expect leaders = 1");
    trace().add("expect committed > " + std::to_string(acknowledged == 0 ? 0 : acknowledged - 1));
}

}  // namespace gannethold::cluster::simulation
