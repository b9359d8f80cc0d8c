// What other settings would have decided: read, sampled within a bound of the processor's time, counted and
// told.
#include <ctime>

#include "dispatcher/dispatcher.hpp"

namespace gannethold::dispatcher {
namespace {

constexpr Micros kTellEvery = 60'000'000;

Micros processor_time() {
    timespec t{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
    return static_cast<Micros>(t.tv_sec) * 1'000'000 + t.tv_nsec / 1'000;
}

json::Value whole(std::uint64_t n) { return json::Value(json::Number{std::to_string(n)}); }

}  // namespace

SettingsMap Dispatcher::over_ours(const Posting& watched) const {
    return shadow::laid_over(workload_registry_.settings(),
                             settings::WorkloadRegistry(watched.orders, watched.workloads()).settings());
}

// Before the module hears it. What is left of this second's time decides whether a turn is sampled at all, so
// that a busy dispatcher drops this first.
void Dispatcher::watch_turn(const Event& event) {
    const Micros now = net::Loop::now();
    if (now - watch_second_ >= 1'000'000) watch_second_ = now, watch_spent_ = 0;
    const bool sampled = noted_ ? shadow_->watching() : shadow_->samples_next();
    const Micros from = sampled ? processor_time() : 0;  // the clock is a call to the system
    if (!noted_) {
        shadow_->begin(now, balancer_, watch_spent_ < watched_most_);
        watch_left_out_ += sampled && !shadow_->watching();
    }
    if (!sampled) return;
    shadow_->note(now, event);
    watch_spent_ += processor_time() - from;
}

void Dispatcher::watch_settled() {
    const Micros now = net::Loop::now();
    if (shadow_->watching()) {
        const Micros from = processor_time();
        shadow_->settle(now, actions_);
        watch_spent_ += processor_time() - from;
    }
    if (now < watch_log_) return;
    if (std::exchange(watch_log_, now + kTellEvery) == 0) return;
    std::string each;
    for (std::size_t i = 0; i < shadow::kNames.size(); ++i)
        each += (i > 0 ? ", " : "") + std::string(shadow::kNames[i]) + " " +
                std::to_string(shadow_->counts().differ[i]);
    log_.info(now, "shadow: ", log::field("decisions", shadow_->counts().decisions),
              " decisions compared; otherwise: ", log::field("differ", each));
}

json::Object Dispatcher::tell_watched() const {
    const shadow::Counts& counts = shadow_->counts();
    json::Object differ;
    for (std::size_t i = 0; i < shadow::kNames.size(); ++i)
        differ[shadow::kNames[i]] = whole(counts.differ[i]);
    return {{"turns", whole(counts.turns)},
            {"decisions", whole(counts.decisions)},
            {"left_out", whole(watch_left_out_)},
            {"differ", json::Value(std::move(differ))}};
}

}  // namespace gannethold::dispatcher
