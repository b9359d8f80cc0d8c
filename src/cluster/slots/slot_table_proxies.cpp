// Handlers of the slot table for messages of proxies.
#include "cluster/slots/slot_table.hpp"

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace gannethold::cluster {
namespace {

constexpr std::uint32_t kUnknownFunctionRetryMs = 500;
constexpr std::uint32_t kRetryBudgetRetryMs = 1000;
constexpr Micros kUnreachableEjection = 1'500'000;
constexpr Micros kRejectionEjection = 50'000;
constexpr Micros kDisconnectEjection = 250'000;

// A runner that had started and is reported as unreachable is ejected and tried once more, because the
// network path may be at fault. Returns whether that second attempt has failed too.
bool is_unreachable_again(Micros now, const RunnerSlots& runner) {
    return runner.state == RunnerState::ready && runner.grants.empty() && runner.ejected_until > 0 &&
           now >= runner.ejected_until && now < runner.ejected_until + 2 * kUnreachableEjection;
}

}  // namespace

// ---- sessions ----

void SlotTable::on_proxy_registered(Micros now, Session session, const RegisterRequest& registration,
                                    ProxyOutbox& out) {
    proxies_.open(session, registration.name, registration.zone);
    take_over_runners(now, session, registration, out);
    for (const FunctionLoad& load : registration.unrestricted)
        take_over_unrestricted(now, session, load, out);
    correct_modes(session, registration, out);
    assign_probers(out);
}

void SlotTable::take_over_runners(Micros now, Session session, const RegisterRequest& registration,
                                  ProxyOutbox& out) {
    for (const RunnerInfo& info : registration.runners) {
        if (runners_.has_ended(info.runner_id)) continue;
        RunnerSlots* runner = runners_.find(info.runner_id);
        if (!runner) {
            Function& function = functions_.get_or_add(info.service);
            runner = &runners_.add(now, info, function);
        }
        if (info.reachable && runner->state == RunnerState::starting) {
            runners_.mark_ready(*runner);
            notifier_.notify_all(*runner, out);
        }
        for (std::uint32_t n = 0; n < info.outstanding; ++n) runner->grants.push_back({session, 0, 0, now});
        subscribe(session, *runner->function);
        functions_.activate(*runner->function);
        notifier_.notify(*runner, session, out);
    }
}

// A function that the proxy uses without grants was unrestricted under the previous coordinator. It remains
// unrestricted unless this coordinator has already made it coordinated. The next sample decides its mode from
// the loads in the registrations, as for any other function.
void SlotTable::take_over_unrestricted(Micros now, Session session, const FunctionLoad& load,
                                       ProxyOutbox& out) {
    Function& function = functions_.get_or_add(load.service);
    subscribe(session, function);
    if (now < function.coordinated_until) {
        out.send(session, mode_message(function));
        return;
    }
    function.assume_observed(now);
    function.proxy_loads[session] = {static_cast<double>(load.busy_ms) / 1e3,
                                     static_cast<double>(load.requests), now};
    functions_.activate(function);
    if (function.unrestricted) return;
    function.unrestricted = true;
    for (const Session other : function.subscribers)
        if (other != session) out.send(other, mode_message(function));
}

void SlotTable::correct_modes(Session session, const RegisterRequest& registration, ProxyOutbox& out) {
    std::set<std::string> coordinated;
    for (const RunnerInfo& info : registration.runners) coordinated.insert(info.service);
    for (const FunctionLoad& load : registration.unrestricted) coordinated.erase(load.service);
    for (const std::string& name : coordinated) {
        const Function& function = functions_.get_or_add(name);
        if (function.unrestricted) out.send(session, mode_message(function));
    }
}

void SlotTable::on_proxy_disconnected(Micros now, Session session, ProxyOutbox& out) {
    auto closed = proxies_.close(session);
    if (!closed) return;
    for (Function* const function : closed->functions) {
        function->subscribers.erase(session);
        function->proxy_loads.erase(session);
        function->waiting.on_proxy_disconnected(session);
    }
    std::sort(closed->runners.begin(), closed->runners.end());
    for (const std::uint32_t number : closed->runners) {
        RunnerSlots* const runner = runners_.find(number);
        if (!runner) continue;
        runner->notified.erase(session);
        // Requests of the proxy may still be running; a runner drops most of them when the connection closes.
        const std::size_t ended = std::erase_if(
            runner->grants, [&](const RunnerSlots::Grant& grant) { return grant.session == session; });
        if (ended > 0) runner->eject_until(now + kDisconnectEjection);
        if (runner->prober == session) {
            runner->prober = 0;
            notifier_.assign_prober(*runner, out);
        }
    }
}

void SlotTable::subscribe(Session session, Function& function) {
    if (function.subscribers.insert(session).second) proxies_.record_function(session, function);
}

void SlotTable::subscribe_and_notify(Session session, Function& function, ProxyOutbox& out) {
    if (function.subscribers.contains(session)) return;
    subscribe(session, function);
    for (RunnerSlots* const runner : function.runners)
        if (!runner->draining) notifier_.notify(*runner, session, out);
    if (function.unrestricted || function.has_spare_slots) out.send(session, mode_message(function));
}

// ---- requests ----

Function* SlotTable::on_acquire_request(Micros now, Session session, const AcquireRequest& request,
                                        ProxyOutbox& out) {
    const ProxySession* const proxy = proxies_.find(session);
    if (!proxy) return nullptr;
    Function* const function = functions_.find(request.service);
    if (!function || !function->service) {
        out.send(session, AcquireDenied{request.id, kUnknownFunctionRetryMs});
        return nullptr;
    }
    function->on_request(now);
    functions_.activate(*function);
    subscribe_and_notify(session, *function, out);
    if (request.is_retry) {
        if (!function->retries.try_spend(now)) {
            out.send(session, AcquireDenied{request.id, kRetryBudgetRetryMs});
            return function;
        }
    } else {
        count_arrivals(now, *function, 1);
        function->zones.add_request(proxy->zone);
        function->load.add_work(durations_.expected_us(request.request_class) / 1e6);
    }
    scheduler_.admit(now, session, request, *function, out);
    return function;
}

void SlotTable::on_release(Micros now, Session session, const Release& release, ProxyOutbox& out) {
    if (!proxies_.contains(session) || scheduler_.cancel_waiting(session, release.id)) return;
    RunnerSlots* const runner = runners_.find(release.runner);
    if (!runner) return;
    end_grant(now, session, release, *runner);
    Function& function = *runner->function;
    switch (release.reason) {
        case ReleaseReason::gone:
            remove_runner(now, *runner, out);
            return;
        case ReleaseReason::unreachable:
            if (is_unreachable_again(now, *runner)) {
                remove_runner(now, *runner, out);
                return;
            }
            if (now >= runner->ejected_until) runner->ejected_until = now + kUnreachableEjection;
            break;
        case ReleaseReason::rejected:
            runner->eject_until(now + kRejectionEjection);
            function.rejections.add(now);
            if (function.unrestricted) modes_.update(now, function, out);
            break;
        case ReleaseReason::unused:
        case ReleaseReason::answered:
        case ReleaseReason::failed:
            break;
    }
    if (!function.waiting.empty()) scheduler_.serve_waiting(now, function, out);
}

void SlotTable::end_grant(Micros now, Session session, const Release& release, RunnerSlots& runner) {
    const auto grant =
        std::find_if(runner.grants.begin(), runner.grants.end(), [&](const RunnerSlots::Grant& each) {
            return each.session == session && each.request_id == release.id;
        });
    if (grant == runner.grants.end()) return;
    if (release.reason == ReleaseReason::answered && grant->request_id > 0)
        durations_.add(grant->request_class, static_cast<double>(release.duration_ms) * 1e3);
    runner.grants.erase(grant);
    runner.adopted = false;
    if (runner.grants.empty()) runner.idle_since = now;
}

// ---- reports ----

void SlotTable::on_runner_reachable(Micros now, Session session, const RunnerReachable& report,
                                    ProxyOutbox& out) {
    RunnerSlots* const runner = runners_.find(report.runner);
    if (!runner || runner->state != RunnerState::starting) return;
    if (!report.reachable) {
        if (runner->prober == session) remove_runner(now, *runner, out);
        return;
    }
    runners_.mark_ready(*runner);
    runner->idle_since = now;
    if (const Service* const service = runner->function->service; service && !runner->adopted)
        boot_times_.add(static_cast<double>(now - runner->started_at),
                        static_cast<double>(std::max<Micros>(1, service->boot_duration)));
    notifier_.notify_all(*runner, out);
    scheduler_.serve_waiting(now, *runner->function, out);
}

void SlotTable::on_load_report(Micros now, Session session, const LoadReport& report) {
    if (!proxies_.contains(session) || report.interval_ms == 0) return;
    for (const FunctionLoad& load : report.loads) {
        Function* const function = functions_.find(load.service);
        if (!function) continue;
        if (!function->subscribers.contains(session)) proxies_.record_function(session, *function);
        function->proxy_loads[session] = {static_cast<double>(load.busy_ms) / report.interval_ms,
                                          load.requests * 1e3 / report.interval_ms, now};
        if (load.requests > 0) function->last_used = now;
        functions_.activate(*function);
    }
}

void SlotTable::on_outstanding_report(Micros now, Session session, const OutstandingReport& report) {
    if (!proxies_.contains(session)) return;
    for (const auto& [number, count] : report.counts) {
        RunnerSlots* const runner = runners_.find(number);
        if (!runner) continue;
        if (!runner->notified.contains(session)) proxies_.record_runner(session, number, runners_);
        for (std::uint32_t n = 0; n < std::min(count, runner->info.slots); ++n)
            runner->grants.push_back({session, 0, 0, now});
    }
}

}  // namespace gannethold::cluster
