#include "cluster/slots/mode_controller.hpp"

#include "cluster/slots/runner_slots.hpp"

namespace gannethold::cluster {
namespace {

constexpr Micros kMinCoordinated = 4'000'000;  // once a function had to be coordinated again
// A runner with fewer slots is full by chance too often to be unrestricted.
constexpr std::uint32_t kMinSlots = 4;
constexpr double kWindow = 5;        // seconds, over which rejections are counted
constexpr double kLoadMargin = 1.5;  // chance has bad seconds too
// Of the rejections allowed: below the first a function becomes unrestricted, above the second coordinated.
constexpr double kEnterPart = 0.08;
constexpr double kLeavePart = 0.3;

void set_mode(Function& function, bool unrestricted, ProxyOutbox& out) {
    if (function.unrestricted == unrestricted) return;
    function.unrestricted = unrestricted;
    function.proxy_loads.clear();
    for (const Session session : function.subscribers)
        out.send(session, FunctionMode{function.name, unrestricted});
}

std::map<std::string, double> count_ready_by_zone(const Function& function) {
    std::map<std::string, double> ready;
    for (const RunnerSlots* const runner : function.runners)
        if (runner->state == RunnerState::ready && !runner->draining) ready[runner->info.zone] += 1;
    return ready;
}

}  // namespace

double erlang_b(double load, std::uint32_t slots) {
    double blocked = 1;
    for (std::uint32_t n = 1; n <= slots; ++n) blocked = load * blocked / (n + load * blocked);
    return blocked;
}

double expected_rejections(const Function& function, const std::map<std::string, double>& ready_by_zone) {
    // Proxies send to near runners first: a zone's requests go to its own runners, those of a zone that has
    // none to all.
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
        const double own = rate > 0 ? function.zones.requests_per_s(zone) / rate : 0;
        const double part = rate > 0 ? own + (1 - near_rate / rate) * count / runners : count / runners;
        rejections += part * rate * kWindow *
                      erlang_b(kLoadMargin * load * part / count, function.service->max_concurrency);
    }
    return rejections;
}

void ModeController::update(Micros now, Function& function, ProxyOutbox& out) const {
    const bool has_rejections = function.rejections.count(now) > 0;
    if (!function.service || !options_.allow_unrestricted || function.service->max_concurrency < kMinSlots) {
        set_mode(function, false, out);
        return;
    }
    const std::map<std::string, double> ready = count_ready_by_zone(function);
    if (ready.empty()) {
        set_mode(function, false, out);
        return;
    }
    const double expected = expected_rejections(function, ready);
    const bool observed = function.is_observed(now);
    // The first rejection is enough: some more of those allowed are on their way before all proxies know.
    if (function.unrestricted &&
        (expected > kLeavePart * options_.max_rejections || has_rejections || !observed)) {
        function.coordinated_until = now + kMinCoordinated;
        set_mode(function, false, out);
    } else if (!function.unrestricted && observed && now >= function.coordinated_until &&
               function.waiting.empty() && expected < kEnterPart * options_.max_rejections &&
               !has_rejections) {
        set_mode(function, true, out);
    }
}

}  // namespace gannethold::cluster
