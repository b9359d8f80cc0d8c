#include "scale/run.hpp"

#include <unistd.h>

#include <algorithm>
#include <cstdio>

#include "scale/statistics.hpp"

namespace gannethold::scale {
namespace {

constexpr Micros kSecond = 1'000'000;
constexpr Micros kTickEach = 5'000, kSweepEach = kSecond / 2, kSampleEach = kSecond;
constexpr Micros kStartLimit = 90 * kSecond;     // until all are registered and configured
constexpr Micros kRecoveryLimit = 30 * kSecond;  // for each fault
constexpr Micros kAfterRecovery = 3 * kSecond;
constexpr Micros kDownFor = kSecond;     // a killed controller
constexpr Micros kCutFor = 5 * kSecond;  // a zone
constexpr double kMostProxies = 0.99;    // "most" of them
constexpr double kMostOfMemory = 0.5;    // of the machine, for all processes of the run
constexpr int kReconnectEvery = 2;

double seconds(Micros span) { return static_cast<double>(span) / static_cast<double>(kSecond); }

}  // namespace

Run::Run(net::Loop& loop, const Options& options, const std::string& programs)
    : loop_(loop),
      options_(options),
      addresses_(options.subnet),
      platform_(loop, options_, addresses_),
      system_(options_, addresses_, programs),
      operator_(loop, options_, addresses_),
      fleet_(options_, addresses_),
      timer_(loop, [this] { tick(); }),
      began_(net::Loop::now()),
      phase_since_(began_) {
    result_.options = options_;
    result_.configuration_bytes = configuration_text(options_, 1).size();
    timer_.set(began_ + kTickEach);
}

Measurements Run::measure() {
    loop_.run([] {});
    fleet_.stop();
    for (const auto& group : fleet_.groups()) {
        const std::vector<double>& waits = group->ground().waits_ms;
        result_.slot_waits_ms.insert(result_.slot_waits_ms.end(), waits.begin(), waits.end());
    }
    result_.changes = operator_.changes();
    result_.answers = operator_.answers();
    result_.hollow_seconds = fleet_.processor_seconds();
    result_.instances_at_end = platform_.instances();
    result_.starts = platform_.starts();
    result_.stops = platform_.stops();
    result_.pages = platform_.pages();
    return std::move(result_);
}

void Run::end(const std::string& why) {
    phase_ = Phase::over;
    result_.stopped_early = why;
    loop_.stop();
}

void Run::tick() {
    const Micros now = net::Loop::now();
    operator_.tick(now);
    look_at_changes(now);
    if (now >= sample_at_) sample(now);
    if (now >= sweep_at_) {
        sweep_at_ = now + kSweepEach;
        platform_.sweep(now);
    }
    if (phase_ == Phase::start) {
        const Change* const first = operator_.last_change();
        if (first && first->in_force > 0 && fleet_.registered() == options_.proxies) begin_steady(now);
        if (phase_ == Phase::start && now > began_ + kStartLimit) end("not all proxies were ready in time");
    } else if (phase_ == Phase::steady) {
        if (now >= phase_since_ + options_.seconds * kSecond) {
            result_.after = read();
            result_.steady_s = seconds(now - phase_since_);
            begin_fault(now);
        }
    } else if (phase_ == Phase::fault) {
        look_at_recovery(now);
    }
    if (phase_ != Phase::over) timer_.set(net::Loop::now() + kTickEach);
}

void Run::look_at_changes(Micros now) {
    Change* const last = operator_.last_change();
    if (!last) {
        if (now > began_ + kSecond) operator_.change(now);
        return;
    }
    if (last->in_force == 0 && fleet_.holding(last->version) == options_.proxies) last->in_force = now;
    if (last->in_force == 0 || last->acknowledged == 0) return;
    if (options_.changes <= 0 || phase_ == Phase::start) return;
    if (now < change_at_) return;
    const auto each = static_cast<Micros>(60.0 * static_cast<double>(kSecond) / options_.changes);
    change_at_ = now + each;
    operator_.change(now);
}

void Run::begin_steady(Micros now) {
    result_.start_s = seconds(now - began_);
    std::printf("ready after %.1f s\n", *result_.start_s);
    std::fflush(stdout);
    phase_ = Phase::steady;
    phase_since_ = now;
    operator_.begin_requests(now);
    result_.before = read();
}

Reading Run::read() const {
    Reading reading;
    reading.at = net::Loop::now();
    reading.sent = fleet_.sent();
    reading.received = fleet_.received();
    reading.controllers = system_.controllers();
    reading.proxies = system_.proxies();
    reading.leader = fleet_.leader();
    for (const auto& group : fleet_.groups()) {
        const HollowGround& ground = group->ground();
        reading.asked += ground.asked;
        reading.granted += ground.granted;
        reading.denied += ground.denied;
        reading.unasked += ground.unasked;
        reading.alone += ground.alone;
        reading.dials += ground.dials;
    }
    return reading;
}

void Run::sample(Micros now) {
    sample_at_ = now + kSampleEach;
    const std::vector<Usage> controllers = system_.controllers(), proxies = system_.proxies();
    const Usage driver = usage_of(getpid());
    Sample sample;
    sample.at_s = seconds(now - began_);
    sample.leader = fleet_.leader();
    sample.registered = fleet_.registered();
    const double span = last_sample_ > 0 ? seconds(now - last_sample_) : 0;
    double all_mb = driver.memory_mb;
    for (std::size_t number = 0; number < controllers.size(); ++number) {
        all_mb += controllers[number].memory_mb;
        if (static_cast<int>(number) == sample.leader) continue;
        sample.other_memory_mb = std::max(sample.other_memory_mb, controllers[number].memory_mb);
    }
    for (const Usage& proxy : proxies) all_mb += proxy.memory_mb;
    if (sample.leader >= 0) {
        const Usage& leader = controllers[static_cast<std::size_t>(sample.leader)];
        sample.leader_memory_mb = leader.memory_mb;
        sample.leader_descriptors = leader.descriptors;
        if (sample.leader == last_leader_number_)
            sample.leader_processor =
                per_second(last_leader_.processor_seconds, leader.processor_seconds, span);
        last_leader_ = leader;
    }
    last_leader_number_ = sample.leader;
    if (!proxies.empty()) {
        sample.proxy_memory_mb = proxies.front().memory_mb;
        sample.proxy_processor =
            per_second(last_proxy_.processor_seconds, proxies.front().processor_seconds, span);
        last_proxy_ = proxies.front();
    }
    sample.driver_processor = per_second(last_driver_.processor_seconds, driver.processor_seconds, span);
    last_driver_ = driver;
    last_sample_ = now;
    result_.samples.push_back(sample);
    result_.most_memory_mb = std::max(result_.most_memory_mb, all_mb);
    for (const std::string& name : system_.ended_by_themselves()) result_.ended_by_themselves.push_back(name);
    if (phase_ == Phase::fault && !result_.recoveries.empty()) {
        Recovery& recovery = result_.recoveries.back();
        recovery.most_leader_memory_mb = std::max(recovery.most_leader_memory_mb, sample.leader_memory_mb);
        for (const Usage& controller : controllers)
            recovery.most_descriptors = std::max(recovery.most_descriptors, controller.descriptors);
    }
    if (all_mb > kMostOfMemory * machine_memory_mb()) end("the run took half of the machine's memory");
}

// ---- faults ----

void Run::begin_fault(Micros now) {
    if (next_fault_ == options_.faults.size()) return end();
    phase_ = Phase::fault;
    phase_since_ = now;
    const Fault fault = options_.faults[next_fault_++];
    Recovery recovery;
    recovery.fault = fault;
    result_.recoveries.push_back(recovery);
    dials_before_ = read().dials;
    std::printf("fault: %s\n", name_of(fault));
    std::fflush(stdout);
    do_fault(fault);
}

void Run::do_fault(Fault fault) {
    faulted_ = std::max(0, fleet_.leader());
    undo_at_ = phase_since_ + kDownFor;
    switch (fault) {
        case Fault::leader_killed:
            system_.kill_controller(faulted_);
            return;
        case Fault::all_killed:
            for (int number = 0; number < options_.controllers; ++number) system_.kill_controller(number);
            return;
        case Fault::half_reconnect: {
            undo_at_ = 0;
            fleet_.order([](HollowProxy& proxy) {
                if (proxy.number() % kReconnectEvery == 0) proxy.reconnect();
            });
            return;
        }
        case Fault::zone_cut: {
            undo_at_ = phase_since_ + kCutFor;
            const int zone = faulted_ % options_.zones;
            system_.pause_controller(faulted_, true);
            fleet_.order([zone](HollowProxy& proxy) {
                if (proxy.zone() == zone) proxy.cut(true);
            });
            return;
        }
    }
}

void Run::undo_fault(Micros now) {
    if (undo_at_ == 0 || now < undo_at_) return;
    undo_at_ = 0;
    switch (result_.recoveries.back().fault) {
        case Fault::leader_killed:
            system_.start_controller(faulted_);
            return;
        case Fault::all_killed:
            for (int number = 0; number < options_.controllers; ++number) system_.start_controller(number);
            return;
        case Fault::half_reconnect:
            return;
        case Fault::zone_cut:
            system_.pause_controller(faulted_, false);
            fleet_.order([](HollowProxy& proxy) { proxy.cut(false); });
            return;
    }
}

void Run::look_at_recovery(Micros now) {
    undo_fault(now);
    Recovery& recovery = result_.recoveries.back();
    // Half of them keep their session where the other half reconnects.
    const bool half = recovery.fault == Fault::half_reconnect;
    const int again = fleet_.registered(phase_since_), all = fleet_.registered();
    const double since = seconds(now - phase_since_);
    const auto note = [since](std::optional<double>& at, bool reached) {
        if (reached && !at) at = since;
    };
    note(recovery.first_registered, again > 0);
    note(recovery.first_served, fleet_.served(phase_since_) > 0 && (half || again > 0));
    const int counted = half ? all : again;
    const bool begun = again > 0;
    note(recovery.most_registered, begun && counted >= kMostProxies * options_.proxies);
    note(recovery.all_registered, begun && counted >= options_.proxies);
    recovery.dials = read().dials - dials_before_;
    const bool done = recovery.all_registered && since > *recovery.all_registered + seconds(kAfterRecovery);
    if (undo_at_ == 0 && (done || now > phase_since_ + kRecoveryLimit)) begin_fault(now);
}

}  // namespace gannethold::scale
