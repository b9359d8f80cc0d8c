#include "cluster/slots/mode_controller.hpp"

#include "cluster/base/mechanisms.hpp"
#include "cluster/slots/erlang.hpp"
#include "cluster/slots/runner_slots.hpp"

namespace gannethold::cluster {
namespace {

constexpr Micros kMinCoordinatedTime = 4'000'000;  // after a function had to become coordinated again
// A runner with fewer slots is filled by random variation too often to be unrestricted.
constexpr std::uint32_t kMinSlots = 4;
constexpr double kRejectionWindowSeconds = 5;  // rejections are counted over this time
constexpr double kLoadMargin = 1.5;            // covers seconds in which random variation raises the load
// Fractions of the allowed rejections: a function becomes unrestricted below the first and coordinated above
// the second.
constexpr double kEnterUnrestrictedFraction = 0.08;
constexpr double kLeaveUnrestrictedFraction = 0.3;

// The typical time without a coordinator while it is replaced, and fractions of the rejections allowed in
// that time: a function gains spare slots below the first and loses them above the second.
constexpr double kCoordinatorOutageSeconds = 2;
constexpr double kGainSpareSlotsFraction = 0.4;
constexpr double kLoseSpareSlotsFraction = 0.8;

void notify_mode(const Function& function, ProxyOutbox& out) {
    for (const Session session : function.subscribers) out.send(session, mode_message(function));
}

void set_unrestricted(Function& function, bool unrestricted, ProxyOutbox& out) {
    if (function.unrestricted == unrestricted) return;
    function.unrestricted = unrestricted;
    function.proxy_loads.clear();
    notify_mode(function, out);
}

std::map<std::string, double> count_ready_by_zone(const Function& function) {
    std::map<std::string, double> ready;
    for (const RunnerSlots* const runner : function.runners)
        if (runner->state == RunnerState::ready && !runner->draining) ready[runner->info.zone] += 1;
    return ready;
}

}  // namespace

FunctionMode mode_message(const Function& function) {
    return {function.name, function.unrestricted, function.has_spare_slots.value_or(false)};
}

double expected_rejections_per_s(const Function& function, const std::map<std::string, double>& ready_by_zone,
                                 double load_margin) {
    // Proxies prefer near runners: the requests of a zone go to its own runners, and those of a zone without
    // runners are spread over all runners.
    double runners = 0;
    for (const auto& [zone, count] : ready_by_zone) runners += count;
    double rate = 0;
    double near_rate = 0;
    for (const auto& [zone, demand] : function.zones.by_zone()) {
        rate += demand.requests_per_s;
        near_rate += ready_by_zone.contains(zone) ? demand.requests_per_s : 0;
    }
    const double load = function.load.peak();
    double rejections = 0;
    for (const auto& [zone, count] : ready_by_zone) {
        const double own_share = rate > 0 ? function.zones.requests_per_s(zone) / rate : 0;
        const double share =
            rate > 0 ? own_share + (1 - near_rate / rate) * count / runners : count / runners;
        rejections +=
            share * rate * erlang_b(load_margin * load * share / count, function.service->max_concurrency);
    }
    return rejections;
}

void ModeController::update(Micros now, Function& function, ProxyOutbox& out) const {
    const std::map<std::string, double> ready = count_ready_by_zone(function);
    update_unrestricted(now, function, ready, out);
    update_spare_slots(now, function, ready, out);
}

void ModeController::update_unrestricted(Micros now, Function& function,
                                         const std::map<std::string, double>& ready, ProxyOutbox& out) const {
    const bool is_possible = !is_off(Mechanism::unrestricted_mode) && function.service &&
                             options_.allow_unrestricted && function.service->max_concurrency >= kMinSlots &&
                             !ready.empty();
    if (!is_possible) {
        set_unrestricted(function, false, out);
        return;
    }
    const bool has_rejections = function.rejections.count(now) > 0;
    const double expected = kRejectionWindowSeconds * expected_rejections_per_s(function, ready, kLoadMargin);
    const bool observed = function.is_observed(now);
    // One rejection is enough, because more can follow until all proxies have received the new mode.
    if (function.unrestricted &&
        (expected > kLeaveUnrestrictedFraction * options_.max_rejections || has_rejections || !observed)) {
        function.coordinated_until = now + kMinCoordinatedTime;
        set_unrestricted(function, false, out);
    } else if (!function.unrestricted && observed && now >= function.coordinated_until &&
               function.waiting.empty() && expected < kEnterUnrestrictedFraction * options_.max_rejections &&
               !has_rejections) {
        set_unrestricted(function, true, out);
    }
}

void ModeController::update_spare_slots(Micros now, Function& function,
                                        const std::map<std::string, double>& ready, ProxyOutbox& out) const {
    if (!function.service || function.service->max_concurrency < kMinSlots) return;
    if (ready.empty() || !function.is_observed(now)) return;
    if (is_off(Mechanism::spare_slots)) return;
    const double expected = kCoordinatorOutageSeconds * expected_rejections_per_s(function, ready, 1);
    const bool had_spare_slots = function.has_spare_slots.value_or(false);
    const bool has_spare_slots =
        expected <
        (had_spare_slots ? kLoseSpareSlotsFraction : kGainSpareSlotsFraction) * options_.max_rejections;
    if (function.has_spare_slots == has_spare_slots) return;
    function.has_spare_slots = has_spare_slots;
    notify_mode(function, out);
}

}  // namespace gannethold::cluster
