// The part of the request handler that handles the session with the coordinator and its messages.
#include <algorithm>
#include <map>
#include <variant>

#include "cluster/proxy/request_handler.hpp"

namespace gannethold::cluster {
namespace {

constexpr Micros kMinTimeToSend = 5'000;           // a runner can not answer in less time to the deadline
constexpr Micros kMinTimeToAcquireAgain = 20'000;  // the same, if another slot has to be acquired first

void set_delay_cause(ValueLoss::Cause& cause, WaitReason wait_reason) {
    switch (wait_reason) {
        case WaitReason::none:
            return;
        case WaitReason::start:
            cause = ValueLoss::Cause::cold_start;
            return;
        case WaitReason::slot:
            cause = ValueLoss::Cause::slot;
            return;
        case WaitReason::memory:
            cause = ValueLoss::Cause::memory;
            return;
    }
}

}  // namespace

RegisterRequest RequestHandler::make_registration() {
    RegisterRequest registration;
    registration.name = options_.name;
    registration.zone = options_.zone;
    registration.incarnation = options_.incarnation;
    registration.configuration_version = version();
    registration.runners = endpoints_.make_registration();
    registration.unrestricted = functions_.unrestricted_loads();
    return registration;
}

// An unrestricted function, which the registration states, remains unrestricted until this coordinator sends
// another mode. If all functions became restricted after a change of coordinators, their acquire requests
// would overload the new coordinator.
void RequestHandler::on_coordinator_registered(Micros now, Actions& actions) {
    has_coordinator_ = true;
    acquires_.clear();
    endpoints_.begin_session();
    std::vector<RequestId> unsent;
    for (auto& [id, request] : requests_) {
        request.is_uncounted = false;
        if (request.phase == Phase::sent)
            request.acquire_id = 0;  // the registration has counted its slot
        else
            unsent.push_back(id);
    }
    for (const RequestId id : unsent) start_attempt(now, requests_.at(id), actions);
}

void RequestHandler::on_coordinator_disconnected(Micros now, Actions& actions) {
    if (!has_coordinator_) return;
    has_coordinator_ = false;
    coordinator_silent_ = false;
    ++outage_;
    acquires_.clear();
    for (auto& [id, request] : requests_)
        if (request.phase == Phase::acquiring) {
            request.acquire_id = 0;
            request.phase = Phase::queued;
        }
    serve_all_queued(now, actions);
}

void RequestHandler::on_probe_completed(const std::string& address, bool reachable, Actions& actions) {
    endpoints_.on_probe_completed(address, reachable, has_coordinator_, actions);
}

void RequestHandler::on_message(Micros now, const Message& message, Actions& actions) {
    if (const auto* registered = std::get_if<RegisterResponse>(&message))
        slot_share_ = {registered->rank, std::max(1U, registered->proxies)};
    else if (const auto* update = std::get_if<RunnerUpdate>(&message))
        endpoints_.on_update(*update, actions);
    else if (const auto* granted = std::get_if<AcquireGranted>(&message))
        on_granted(now, *granted, actions);
    else if (const auto* mode = std::get_if<FunctionMode>(&message))
        on_function_mode(*mode, actions);
    else if (const auto* denied = std::get_if<AcquireDenied>(&message))
        on_denied(now, *denied, actions);
}

void RequestHandler::on_granted(Micros now, const AcquireGranted& granted, Actions& actions) {
    const std::optional<RequestId> id = acquires_.find(granted.id);
    if (!id) {
        // The client has disconnected, or the deadline has passed.
        actions.messages.emplace_back(Release{granted.id, granted.runner, ReleaseReason::unused, 0});
        return;
    }
    Request& request = requests_.at(*id);
    Endpoint* const endpoint = endpoints_.find_by_number(granted.runner);
    const bool is_usable = endpoint && endpoint->state != RunnerState::gone;
    if (!is_usable || !can_finish_before_shutdown(now, request) || now + kMinTimeToSend > request.deadline_at)
        return reject_grant(now, granted, request, is_usable, actions);
    set_delay_cause(request.delay_cause, granted.wait_reason);
    const bool is_preferred = request.preferred_runner == granted.runner;
    record_decision(now, request, endpoint->info.runner_id,
                    request.retry.is_retry()        ? "granted_again"
                    : is_preferred                  ? "granted_as_drawn"
                    : request.preferred_runner == 0 ? "granted_none_known"
                                                    : "granted_another_drawn_is_full");
    send(now, request, *endpoint, actions);
}

void RequestHandler::reject_grant(Micros now, const AcquireGranted& granted, Request& request, bool is_usable,
                                  Actions& actions) {
    acquires_.remove(granted.id);
    actions.messages.emplace_back(Release{granted.id, granted.runner, ReleaseReason::unused, 0});
    request.acquire_id = 0;
    if (!can_finish_before_shutdown(now, request))
        return reply(now, request, ErrorCode::shutting_down, kRetryOtherProxyMs, actions);
    if (!is_usable && now + kMinTimeToAcquireAgain < request.deadline_at)
        return start_attempt(now, request, actions);
    reply(now, request, ErrorCode::not_sent, 0, actions);
}

void RequestHandler::on_denied(Micros now, const AcquireDenied& denied, Actions& actions) {
    const std::optional<RequestId> id = acquires_.find(denied.id);
    if (!id) return;
    Request& request = requests_.at(*id);
    if (request.retry.is_retry() && denied.wait_reason == WaitReason::none)
        request.delay_cause = ValueLoss::Cause::budget;
    set_delay_cause(request.delay_cause, denied.wait_reason);
    reply(now, request, ErrorCode::no_slot, denied.retry_after_ms, actions);
}

// When the mode changes to restricted, the coordinator starts to count the attempts that were sent without a
// slot. They are reported here, and released to the coordinator when they end.
void RequestHandler::on_function_mode(const FunctionMode& mode, Actions& actions) {
    FunctionState& function = functions_.state_of(mode.service);
    function.has_spare_slots = mode.has_spare_slots;
    if (function.unrestricted == mode.unrestricted) return;
    function.unrestricted = mode.unrestricted;
    if (mode.unrestricted) return;
    std::map<std::uint32_t, std::uint32_t> in_flight;  // by the runner's number
    for (auto& [id, request] : requests_) {
        if (request.phase != Phase::sent || !request.unrestricted || request.service != mode.service)
            continue;
        request.unrestricted = false;
        const Endpoint* const endpoint = endpoints_.find(request.runner);
        if (endpoint && endpoint->number > 0) ++in_flight[endpoint->number];
    }
    OutstandingReport outstanding;
    for (const auto& [runner, requests] : in_flight) outstanding.counts.push_back({runner, requests});
    if (!outstanding.counts.empty()) actions.messages.emplace_back(std::move(outstanding));
}

}  // namespace gannethold::cluster
