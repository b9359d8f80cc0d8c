#include "cluster/slots/request_scheduler.hpp"

#include <algorithm>

#include "cluster/base/mechanisms.hpp"

namespace gannethold::cluster {
namespace {

constexpr std::uint32_t kUnservableRetryMs = 1000;
constexpr double kMinRetryMs = 100;
constexpr double kMaxRetryMs = 3000;
// Fraction of a request's deadline that it may wait; the rest remains for another attempt.
constexpr double kMaxWaitFraction = 0.6;
// Factor on the expected time between two grants, because a slot is occupied for longer than the work alone.
constexpr double kTurnMargin = 1.25;

// Returns 0 if the request may wait at the end of the queue. If the queue is so long that the request would
// be denied later, it is denied immediately: returns the time after which the client may retry, when the
// queue will be shorter.
std::uint32_t queue_retry_ms(const Function& function, const AcquireRequest& request) {
    const double slots = function.total_slots();
    if (slots == 0 || is_off(Mechanism::early_rejection)) return 0;
    const double wait_ms = function.waiting.total_work_us() / slots / 1e3;
    const double max_wait_ms =
        std::max<double>(request.latency_target_ms, request.deadline_ms * kMaxWaitFraction);
    if (wait_ms <= max_wait_ms) return 0;
    return static_cast<std::uint32_t>(std::clamp(wait_ms - max_wait_ms / 2, kMinRetryMs, kMaxRetryMs));
}

}  // namespace

void RequestScheduler::admit(Micros now, Session session, const AcquireRequest& request, Function& function,
                             ProxyOutbox& out) {
    ProxySession& proxy = *proxies_.find(session);
    if (function.waiting.empty()) {
        RunnerSlots* const runner =
            function.pick_runner(now, runners_.find(request.preferred_runner), proxy.zone);
        if (runner) {
            grant(now, *runner, session, request, WaitReason::none, out);
            return;
        }
    }
    if (const std::uint32_t retry_ms = queue_retry_ms(function, request); retry_ms > 0) {
        out.send(session, AcquireDenied{request.id, retry_ms, function.wait_reason()});
        return;
    }
    const WaitQueue::Waiting waiting{session,
                                     request,
                                     now,
                                     now + request.latency_target_ms * 1000LL,
                                     now + request.deadline_ms * 1000LL,
                                     static_cast<Micros>(durations_.expected_us(request.request_class)),
                                     function.wait_reason()};
    proxy.waiting[request.id] = {&function, function.waiting.add(waiting)};
    serve_waiting(now, function, out);
}

bool RequestScheduler::cancel_waiting(Session session, std::uint32_t request_id) {
    ProxySession* const proxy = proxies_.find(session);
    if (!proxy || request_id == 0) return false;
    const auto waiting = proxy->waiting.find(request_id);
    if (waiting == proxy->waiting.end()) return false;
    waiting->second.function->waiting.remove(waiting->second.ticket);
    proxy->waiting.erase(waiting);
    return true;
}

void RequestScheduler::grant(Micros now, RunnerSlots& runner, Session session, const AcquireRequest& request,
                             WaitReason wait_reason, ProxyOutbox& out) {
    runner.grants.push_back({session, request.id, request.request_class, now});
    if (!runner.notified.contains(session)) notifier_.notify(runner, session, out);
    out.send(session, AcquireGranted{request.id, runner.number, wait_reason});
}

void RequestScheduler::serve_waiting(Micros now, Function& function, ProxyOutbox& out) {
    while (const auto next = function.waiting.next(now, is_late_turn(function))) {
        ProxySession* const proxy = proxies_.find(next->waiting->session);
        if (!proxy) {
            function.waiting.remove(next->ticket);
            continue;
        }
        RunnerSlots* const runner =
            function.pick_runner(now, runners_.find(next->waiting->request.preferred_runner), proxy->zone);
        if (!runner) return;
        const WaitQueue::Waiting served = *next->waiting;
        const bool was_late = function.waiting.is_late(next->ticket);
        const bool was_late_turn = was_late && is_late_turn(function);
        function.waiting.remove(next->ticket);
        function.grants_since_late_turn = was_late ? 0 : function.grants_since_late_turn + 1;
        record_inversion(now, function, served, was_late_turn);
        proxy->waiting.erase(served.request.id);
        grant(now, *runner, served.session, served.request, served.wait_reason, out);
    }
}

void RequestScheduler::record_inversion(Micros now, Function& function, const WaitQueue::Waiting& served,
                                        bool late_turn) {
    const WaitQueue::Waiting* const oldest = function.waiting.oldest();
    if (!oldest || oldest->since >= served.since) return;
    ++function.inversions;
    const bool oldest_is_late = now > oldest->target_at - oldest->work;
    PriorityInversion inversion;
    inversion.at = now;
    inversion.service = function.name;
    inversion.session = served.session;
    inversion.passed_session = oldest->session;
    inversion.request_id = served.request.id;
    inversion.passed_request_id = oldest->request.id;
    inversion.priority = served.request.priority;
    inversion.passed_priority = oldest->request.priority;
    inversion.time_left = served.target_at - now;
    inversion.passed_time_left = oldest->target_at - now;
    inversion.reason = PriorityInversion::kLessTimeLeft;
    if (oldest_is_late) inversion.reason = PriorityInversion::kPassedIsLate;
    if (late_turn) inversion.reason = PriorityInversion::kLateTurn;
    priority_inversions_.add(inversion);
}

void RequestScheduler::deny_unservable(Micros now, Function& function, ProxyOutbox& out) {
    while (const auto expired = function.waiting.expired(now)) deny_waiting(function, *expired, 0, out);
    const double slots = function.total_slots();
    while (slots > 0 && !function.waiting.empty()) {
        const double work_us =
            function.waiting.total_work_us() / static_cast<double>(function.waiting.size());
        const double slots_per_turn = function.waiting.has_on_target() ? options_.late_turn_interval : 1;
        const double turn_interval_us = kTurnMargin * work_us / slots * slots_per_turn;
        const auto last = function.waiting.last_unservable(now, turn_interval_us);
        if (!last) break;
        deny_waiting(function, *last, kUnservableRetryMs, out);
    }
}

void RequestScheduler::deny_waiting(Function& function, const WaitQueue::Entry& entry, std::uint32_t retry_ms,
                                    ProxyOutbox& out) {
    const Session session = entry.waiting->session;
    const std::uint32_t request_id = entry.waiting->request.id;
    out.send(session, AcquireDenied{request_id, retry_ms, entry.waiting->wait_reason});
    if (ProxySession* const proxy = proxies_.find(session)) proxy->waiting.erase(request_id);
    function.waiting.remove(entry.ticket);
}

}  // namespace gannethold::cluster
