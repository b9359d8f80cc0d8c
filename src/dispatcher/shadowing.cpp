// Shadow evaluation: samples what other settings would have decided, within a CPU budget, and reports the
// counts of differing decisions.
#include <ctime>

#include "dispatcher/dispatcher.hpp"

namespace gannethold::dispatcher {
namespace {

constexpr Micros kShadowLogInterval = 60'000'000;

Micros thread_cpu_time() {
    timespec t{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
    return static_cast<Micros>(t.tv_sec) * 1'000'000 + t.tv_nsec / 1'000;
}

json::Value integer(std::uint64_t n) { return json::Value(json::Number{std::to_string(n)}); }

}  // namespace

SettingsMap Dispatcher::shadow_settings(const DispatcherConfig& shadow_config) const {
    return shadow::merge_settings(
        workload_registry_.settings(),
        settings::WorkloadRegistry(shadow_config.settings, shadow_config.workload_count()).settings());
}

// Called before the Balancer applies the event. A turn is sampled only if CPU budget remains in this second,
// so that a busy dispatcher gives up shadow evaluation first.
void Dispatcher::shadow_event(const Event& event) {
    const Micros now = net::Loop::now();
    if (now - shadow_second_start_ >= 1'000'000) shadow_second_start_ = now, shadow_cpu_used_ = 0;
    const bool sampled = has_new_events_ ? shadow_->is_sampling() : shadow_->is_next_sampled();
    const Micros from = sampled ? thread_cpu_time() : 0;  // reading this clock is a system call
    if (!has_new_events_) {
        shadow_->begin_turn(now, balancer_, shadow_cpu_used_ < max_shadow_cpu_);
        shadow_skipped_ += sampled && !shadow_->is_sampling();
    }
    if (!sampled) return;
    shadow_->apply_event(now, event);
    shadow_cpu_used_ += thread_cpu_time() - from;
}

void Dispatcher::compare_shadow() {
    const Micros now = net::Loop::now();
    if (shadow_->is_sampling()) {
        const Micros from = thread_cpu_time();
        shadow_->compare_turn(now, actions_);
        shadow_cpu_used_ += thread_cpu_time() - from;
    }
    if (now < next_shadow_log_at_) return;
    if (std::exchange(next_shadow_log_at_, now + kShadowLogInterval) == 0) return;
    std::string each;
    for (std::size_t i = 0; i < shadow::kDecisionKindNames.size(); ++i)
        each += (i > 0 ? ", " : "") + std::string(shadow::kDecisionKindNames[i]) + " " +
                std::to_string(shadow_->counts().differ[i]);
    log_.info(now, "shadow: ", log::field("decisions", shadow_->counts().decisions),
              " decisions compared; otherwise: ", log::field("differ", each));
}

json::Object Dispatcher::shadow_status() const {
    const shadow::Counts& counts = shadow_->counts();
    json::Object differ;
    for (std::size_t i = 0; i < shadow::kDecisionKindNames.size(); ++i)
        differ[shadow::kDecisionKindNames[i]] = integer(counts.differ[i]);
    return {{"turns", integer(counts.turns)},
            {"decisions", integer(counts.decisions)},
            {"left_out", integer(shadow_skipped_)},
            {"differ", json::Value(std::move(differ))}};
}

}  // namespace gannethold::dispatcher
