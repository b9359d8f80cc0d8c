#include "cluster/proxy/request_handler.hpp"

#include <algorithm>

#include "cluster/base/mechanisms.hpp"
#include "cluster/proxy/routing.hpp"

namespace gannethold::cluster {
namespace {

constexpr std::uint32_t kRetrySlotMs = 150;           // by then a slot is likely to be free
constexpr std::uint32_t kRetryConfigurationMs = 500;  // until a configuration is received
constexpr Micros kResponseMargin = 15'000;            // for a response to reach the client
constexpr Micros kEjectionDuration = 1'000'000;       // of a runner that can not be reached
constexpr Micros kMinLatency = 100;                   // the smallest sample that the split accepts

double seconds(Micros span) { return static_cast<double>(span) / 1e6; }

std::uint32_t ms_until(Micros now, Micros until) {
    return static_cast<std::uint32_t>(std::max<Micros>(0, until - now) / 1000);
}

ReleaseReason release_reason(AttemptResult result) {
    switch (result) {
        case AttemptResult::succeeded:
            return ReleaseReason::answered;
        case AttemptResult::rejected:
            return ReleaseReason::rejected;
        case AttemptResult::misdirected:
            return ReleaseReason::gone;
        case AttemptResult::connect_failed:
            return ReleaseReason::unreachable;
        case AttemptResult::runner_error:
        case AttemptResult::not_sent:
        case AttemptResult::outcome_unknown:
            break;
    }
    return ReleaseReason::failed;
}

// The latency sample for the split; 0: the result says nothing about the runner's latency.
Micros sampled_latency(AttemptResult result, Micros duration, Micros timeout) {
    switch (result) {
        case AttemptResult::succeeded:
            return std::max(duration, kMinLatency);
        case AttemptResult::misdirected:
        case AttemptResult::connect_failed:
            return 0;
        case AttemptResult::runner_error:
        case AttemptResult::rejected:
        case AttemptResult::not_sent:
        case AttemptResult::outcome_unknown:
            break;
    }
    return timeout;
}

}  // namespace

void RequestHandler::configure(std::shared_ptr<const Configuration> configuration) {
    if (!configuration || (configuration_ && configuration->version() <= configuration_->version())) return;
    configuration_ = std::move(configuration);
}

// ---- requests ----

void RequestHandler::on_request(Micros now, RequestId id, std::string_view host, std::string_view path,
                                std::uint32_t deadline_ms, Actions& actions) {
    Request& request = requests_[id];
    request.id = id;
    request.configuration = configuration_;
    if (!configuration_) return reply(now, request, ErrorCode::not_sent, kRetryConfigurationMs, actions);
    request.route = configuration_->find_route(host, path);
    if (!request.route) return reply(now, request, ErrorCode::no_route, 0, actions);
    request.arrived_at = now;
    request.target_at = now + request.route->latency_target;
    request.deadline_at = now + std::min<Micros>(deadline_ms * 1000LL, request.route->timeout);
    request.service = choose_service(*request.route, random_.next());
    Split& split = functions_.state_of(request.service).split;
    split.on_request();
    split.advance(now, static_cast<std::uint64_t>(random_.next() * 1e9));
    deadlines_.add(request.deadline_at - kResponseMargin, id);
    start_attempt(now, request, actions);
}

void RequestHandler::on_client_disconnected(Micros now, RequestId id, Actions& actions) {
    const auto found = requests_.find(id);
    if (found == requests_.end()) return;
    Request& request = found->second;
    request.client_connected = false;
    if (request.phase == Phase::sent) {
        // A non-idempotent request is completed, because its client can not know whether it has run. The
        // result of an idempotent request is not needed, because the client can repeat it.
        if (request.route->is_idempotent) abandon_attempt(now, request, actions);
        return;
    }
    withdraw_acquire(request, actions);
    close(id);
}

// Ends the current attempt. The runner stops its work when the connection is closed.
void RequestHandler::abandon_attempt(Micros now, Request& request, Actions& actions) {
    functions_.state_of(request.service).split.on_completed(request.runner, 0);
    release_slot(now, request, ReleaseReason::failed, actions);
    actions.cancelled_attempts.push_back(request.id);
    const std::string service = request.service;
    close(request.id);
    if (!has_coordinator_) serve_queued(now, service, actions);  // a slot is free now
}

void RequestHandler::close(RequestId id) {
    const auto found = requests_.find(id);
    if (found == requests_.end()) return;
    acquires_.remove(found->second.acquire_id);
    deadlines_.remove(found->second.deadline_at - kResponseMargin, id);
    requests_.erase(found);
}

// Closes the request, which invalidates the reference.
void RequestHandler::reply(Micros now, const Request& request, ErrorCode error, std::uint32_t retry_after_ms,
                           Actions& actions) {
    if (request.retry.may_have_run() && error_response(error).guarantees_not_run) {
        error = ErrorCode::may_have_run;
        retry_after_ms = 0;
    }
    if (request.client_connected) {
        actions.local_replies.push_back({request.id, error, retry_after_ms});
        const bool failed = error == ErrorCode::may_have_run || error == ErrorCode::deadline_exceeded;
        if (request.route)
            record_loss(now, request, failed ? ValueLoss::Outcome::failed : ValueLoss::Outcome::rejected);
    }
    record_decision(now, request, request.runner, error_response(error).name);
    close(request.id);
}

void RequestHandler::record_loss(Micros now, const Request& request, ValueLoss::Outcome outcome) {
    statistics_.record(
        ValueLoss{now, now - request.arrived_at, request.service, request.delay_cause, outcome});
}

void RequestHandler::record_decision(Micros now, const Request& request, const std::string& runner,
                                     const char* reason) {
    const Micros waited = request.arrived_at > 0 ? now - request.arrived_at : 0;
    statistics_.record(RoutingDecision{now, waited, request.id, request.service, runner, reason});
}

// ---- attempts ----

// Acquires a slot from the coordinator, or uses one of the own share. May close the request, which
// invalidates the reference.
void RequestHandler::start_attempt(Micros now, Request& request, Actions& actions) {
    request.runner.clear();
    request.unrestricted = false;
    request.is_uncounted = false;
    if (!can_finish_before_shutdown(now, request))
        return reply(now, request, ErrorCode::shutting_down, kRetryOtherProxyMs, actions);
    if (!has_coordinator_) {
        request.phase = Phase::queued;
        return serve_queued(now, std::string(request.service), actions);
    }
    const FunctionState& function = functions_.state_of(request.service);
    Endpoint* const selected = endpoints_.select(
        function.split, options_.zone, random_.next(),
        [now](const Endpoint& endpoint, const Split::Share& share) {
            return endpoint.is_selectable(now) && endpoint.number > 0 && share.in_flight < share.slots;
        });
    if (function.unrestricted && selected && !request.retry.is_retry()) {
        request.unrestricted = true;
        record_decision(now, request, selected->info.runner_id, "drawn_unasked");
        return send(now, request, *selected, actions);
    }
    if (coordinator_silent_ && try_spare_slot(now, request, actions)) return;
    acquire_slot(now, request, selected, actions);
}

void RequestHandler::acquire_slot(Micros now, Request& request, const Endpoint* preferred, Actions& actions) {
    request.phase = Phase::acquiring;
    request.acquire_id = acquires_.add(request.id);
    request.preferred_runner = preferred ? preferred->number : 0;
    actions.messages.emplace_back(AcquireRequest{request.acquire_id, request.preferred_runner,
                                                 request.service, ms_until(now, request.target_at),
                                                 ms_until(now, request.deadline_at), request.route->priority,
                                                 request.route->request_class, request.retry.is_retry()});
}

// Serves the queued requests of a service in the order of urgency, so that a new request does not take a slot
// that a more urgent one waits for.
void RequestHandler::serve_queued(Micros now, const std::string& service, Actions& actions) {
    std::vector<QueuedRequest> queue;
    for (const auto& [id, request] : requests_)
        if (request.phase == Phase::queued && request.service == service)
            queue.push_back(
                {id,
                 {request.arrived_at, request.target_at, request.route->priority, now > request.target_at}});
    LocalQueueScheduler& scheduler = functions_.state_of(service).queue_scheduler;
    while (!queue.empty()) {
        const std::size_t next = scheduler.next(queue, options_.late_turn_interval);
        if (!try_own_share(now, requests_.at(queue[next].id), actions)) return;
        scheduler.on_served(queue[next]);
        queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(next));
    }
}

void RequestHandler::serve_all_queued(Micros now, Actions& actions) {
    std::set<std::string> services;
    for (const auto& [id, request] : requests_)
        if (request.phase == Phase::queued) services.insert(request.service);
    for (const std::string& service : services) serve_queued(now, service, actions);
}

// Sends or closes the request and returns true; returns false if no runner has a free slot of the own share.
bool RequestHandler::try_own_share(Micros now, Request& request, Actions& actions) {
    // The coordinator manages the retry budget of all proxies, so that no retry can be granted without it.
    if (request.retry.is_retry()) {
        request.delay_cause = ValueLoss::Cause::coordinator;
        reply(now, request, ErrorCode::no_slot, kRetrySlotMs, actions);
        return true;
    }
    const FunctionState& function = functions_.state_of(request.service);
    Endpoint* const selected = select_without_coordinator(now, function);
    if (!selected) {
        request.delay_cause = ValueLoss::Cause::coordinator;
        return false;
    }
    request.unrestricted = function.unrestricted;
    record_decision(now, request, selected->info.runner_id, "drawn_without_keeper");
    send(now, request, *selected, actions);
    return true;
}

std::uint32_t RequestHandler::own_slots(const Endpoint& endpoint) const {
    return is_off(Mechanism::own_share) ? 0 : slot_share_.slots_of(endpoint.info);
}

// Selects a runner with a free slot of the own share. If the function is unrestricted or has spare slots, any
// free slot qualifies.
Endpoint* RequestHandler::select_without_coordinator(Micros now, const FunctionState& function) {
    const bool may_use_all_slots = function.unrestricted || function.may_use_spare_slots(outage_);
    return endpoints_.select(
        function.split, options_.zone, random_.next(), [&](const Endpoint& endpoint, const Split::Share&) {
            const std::uint32_t slots = may_use_all_slots ? endpoint.info.slots : own_slots(endpoint);
            return endpoint.is_selectable(now) && endpoint.in_flight < slots;
        });
}

// Sends the request to a runner with spare slots; returns false if a slot has to be acquired instead.
bool RequestHandler::try_spare_slot(Micros now, Request& request, Actions& actions) {
    const FunctionState& function = functions_.state_of(request.service);
    if (request.retry.is_retry() || !function.may_use_spare_slots(outage_)) return false;
    Endpoint* const selected = select_without_coordinator(now, function);
    if (!selected) return false;
    request.is_uncounted = true;
    record_decision(now, request, selected->info.runner_id, "drawn_without_keeper");
    send(now, request, *selected, actions);
    return true;
}

void RequestHandler::set_coordinator_silent(Micros now, bool silent, Actions& actions) {
    if (silent && !coordinator_silent_) ++outage_;
    coordinator_silent_ = silent;
    if (!silent || !has_coordinator_) return;
    for (auto& [id, request] : requests_) {
        if (request.phase != Phase::acquiring) continue;
        const std::uint32_t acquire_id = request.acquire_id;
        if (!try_spare_slot(now, request, actions)) continue;
        // Without a pending id, a grant that arrives later is released.
        acquires_.remove(acquire_id);
        request.acquire_id = 0;
        actions.messages.emplace_back(Release{acquire_id, 0, ReleaseReason::unused, 0});
    }
}

void RequestHandler::send(Micros now, Request& request, Endpoint& endpoint, Actions& actions) {
    request.phase = Phase::sent;
    request.runner = endpoint.info.runner_id;
    request.sent_at = now;
    request.retry.on_attempt_sent();
    ++endpoint.in_flight;
    functions_.state_of(request.service).split.on_sent(request.runner);
    const Micros remaining = std::max<Micros>(1000, request.deadline_at - now);
    actions.forwards.push_back(
        {request.id, request.runner, endpoint.info.address, static_cast<std::uint32_t>(remaining / 1000)});
}

void RequestHandler::on_attempt_completed(Micros now, RequestId id, AttemptResult result, Actions& actions) {
    const auto found = requests_.find(id);
    if (found == requests_.end() || found->second.phase != Phase::sent) return;
    Request& request = found->second;
    const std::string service = request.service;
    account_attempt(now, request, result, actions);
    if (result == AttemptResult::succeeded)
        relay_success(now, request, actions);
    else
        retry_or_reply(now, request, result, actions);
    if (!has_coordinator_) serve_queued(now, service, actions);  // a slot is free now
}

void RequestHandler::account_attempt(Micros now, Request& request, AttemptResult result, Actions& actions) {
    const Micros latency = sampled_latency(result, now - request.sent_at, request.route->timeout);
    functions_.state_of(request.service).split.on_completed(request.runner, seconds(latency));
    release_slot(now, request, release_reason(result), actions);
    if (result == AttemptResult::misdirected) endpoints_.remove(request.runner, actions);
    if (result == AttemptResult::connect_failed) endpoints_.eject(request.runner, now + kEjectionDuration);
    if (result == AttemptResult::rejected && (!has_coordinator_ || request.is_uncounted))
        functions_.state_of(request.service).full_in_outage = outage_;
    request.retry.on_attempt_completed(result);
}

void RequestHandler::release_slot(Micros now, Request& request, ReleaseReason reason, Actions& actions) {
    const Micros duration = now - request.sent_at;
    std::uint32_t number = 0;
    if (Endpoint* const endpoint = endpoints_.find(request.runner)) {
        if (endpoint->in_flight > 0) --endpoint->in_flight;
        number = endpoint->number;
    }
    if (request.unrestricted) functions_.state_of(request.service).load.add(duration);
    // The end of an attempt without a slot is reported only if it is a fault. on_function_mode() clears
    // `unrestricted` once the coordinator counts the attempt.
    const bool is_fault = reason == ReleaseReason::rejected || reason == ReleaseReason::unreachable ||
                          reason == ReleaseReason::gone;
    const bool is_counted = !request.is_uncounted &&
                            (request.acquire_id > 0 || (number > 0 && (!request.unrestricted || is_fault)));
    if (has_coordinator_ && is_counted)
        actions.messages.emplace_back(
            Release{request.acquire_id, number, reason, static_cast<std::uint32_t>(duration / 1000)});
    acquires_.remove(request.acquire_id);
    request.acquire_id = 0;
}

void RequestHandler::relay_success(Micros now, Request& request, Actions& actions) {
    work_times_.add(*request.route, now - request.sent_at);
    if (request.client_connected) {
        actions.relayed_responses.push_back(request.id);
        if (now > request.target_at) record_loss(now, request, ValueLoss::Outcome::late);
    }
    close(request.id);
}

void RequestHandler::retry_or_reply(Micros now, Request& request, AttemptResult result, Actions& actions) {
    request.delay_cause =
        result == AttemptResult::rejected ? ValueLoss::Cause::slot : ValueLoss::Cause::runner;
    if (!request.client_connected) return close(request.id);
    if (request.retry.may_retry(*request.route, result, now, request.deadline_at)) {
        request.retry.begin_next_attempt();
        return start_attempt(now, request, actions);
    }
    // A runner's error response is relayed. In the other cases the reply states whether the request has run.
    if (result == AttemptResult::runner_error) {
        actions.relayed_responses.push_back(request.id);
        record_loss(now, request, ValueLoss::Outcome::failed);
        return close(request.id);
    }
    reply(now, request, ErrorCode::no_slot, kRetrySlotMs, actions);
}

void RequestHandler::withdraw_acquire(const Request& request, Actions& actions) {
    if (request.phase == Phase::acquiring && has_coordinator_)
        actions.messages.emplace_back(Release{request.acquire_id, 0, ReleaseReason::unused, 0});
}

void RequestHandler::cancel_attempt(Micros now, Request& request, ErrorCode error, Actions& actions) {
    functions_.state_of(request.service).split.on_completed(request.runner, seconds(request.route->timeout));
    release_slot(now, request, ReleaseReason::failed, actions);
    actions.cancelled_attempts.push_back(request.id);
    reply(now, request, error, 0, actions);
}

// ---- time ----

void RequestHandler::tick(Micros now, Actions& actions) {
    while (const std::optional<RequestId> id = deadlines_.expired(now)) {
        Request& request = requests_.at(*id);
        if (request.phase == Phase::sent) {
            cancel_attempt(now, request, ErrorCode::deadline_exceeded, actions);
        } else {
            withdraw_acquire(request, actions);
            reply(now, request, ErrorCode::not_sent, 0, actions);
        }
    }
    reject_unfinishable(now, actions);
    if (!has_coordinator_) serve_all_queued(now, actions);
    std::optional<LoadReport> report = functions_.make_load_report(now);
    if (report && has_coordinator_) actions.messages.emplace_back(std::move(*report));
}

// ---- shutdown ----

bool RequestHandler::can_finish_before_shutdown(Micros now, const Request& request) const {
    return !response_deadline_ || now + work_times_.upper_estimate(*request.route) <= *response_deadline_;
}

void RequestHandler::begin_shutdown(Micros now, Micros response_deadline, Actions& actions) {
    response_deadline_ = response_deadline;
    reject_unfinishable(now, actions);
}

void RequestHandler::reject_unfinishable(Micros now, Actions& actions) {
    if (!response_deadline_) return;
    std::vector<RequestId> rejected;
    for (const auto& [id, request] : requests_)
        if (request.phase != Phase::sent && !can_finish_before_shutdown(now, request)) rejected.push_back(id);
    for (const RequestId id : rejected) {
        const Request& request = requests_.at(id);
        withdraw_acquire(request, actions);
        reply(now, request, ErrorCode::shutting_down, kRetryOtherProxyMs, actions);
    }
}

void RequestHandler::answer_all_pending(Micros now, Actions& actions) {
    response_deadline_ = now;
    reject_unfinishable(now, actions);
    std::vector<RequestId> sent;
    for (const auto& [id, request] : requests_) sent.push_back(id);
    for (const RequestId id : sent) cancel_attempt(now, requests_.at(id), ErrorCode::may_have_run, actions);
}

}  // namespace gannethold::cluster
