#include "client_requests.hpp"

#include <algorithm>
#include <utility>

#include "cluster/base/error.hpp"

namespace gannethold::cluster::simulation {

ClientRequests::ClientRequests(Environment& environment, const ConfigurationTemplate& configuration,
                               Platform& platform)
    : environment_(environment), configuration_(configuration), platform_(platform) {}

RequestId ClientRequests::open(std::size_t proxy, Number proxy_incarnation, const std::string& route,
                               int work_ms) {
    const RequestId id = ++last_id_;
    Request& request = requests_[id];
    request.proxy = proxy;
    request.proxy_incarnation = proxy_incarnation;
    request.route = route;
    request.work_ms = work_ms;
    request.arrived_at = environment_.now();
    if (const ServiceSpec* const spec = configuration_.find(route)) {
        request.idempotent = spec->idempotent;
        request.latency_target = spec->latency_target_ms * kMicrosPerMilli;
    }
    return id;
}

// ---- answers

void ClientRequests::mark_answered(Request& request) {
    if (request.answered) report("answered twice");
    request.answered = true;
}

void ClientRequests::on_reply(RequestId id, ErrorCode error) {
    Request& request = requests_[id];
    mark_answered(request);
    const ErrorResponse answer = error_response(error);
    ++outcomes_.statuses[answer.status];
    RouteOutcomes& route = outcomes_.routes[request.route];
    ++route.errors;
    if (!answer.guarantees_not_run) return;
    route.max_rejection_latency =
        std::max(route.max_rejection_latency, environment_.now() - request.arrived_at);
    request.guaranteed_not_run = true;
    if (request.runs > 0) report("answered as not run, and it has run");
}

void ClientRequests::on_relay(RequestId id) {
    Request& request = requests_[id];
    mark_answered(request);
    ++outcomes_.statuses[200];
    RouteOutcomes& route = outcomes_.routes[request.route];
    const Micros latency = environment_.now() - request.arrived_at;
    if (latency > request.latency_target) {
        ++outcomes_.late;
        ++route.late;
    }
    ++route.answered;
    route.max_latency = std::max(route.max_latency, latency);
}

// ---- attempts at runners

void ClientRequests::cancel_attempt(RequestId id) {
    environment_.after_hop([this, id] {
        const std::string working = std::exchange(requests_[id].runner, {});
        Runner* const runner = working.empty() ? nullptr : platform_.find(working);
        if (runner) --runner->busy;
    });
}

void ClientRequests::attempt(RequestId id, const std::string& runner, const std::string& address,
                             AttemptCallback on_ended) {
    environment_.after_hop([this, id, runner, address, on_ended = std::move(on_ended)] {
        on_attempt_arrived(id, runner, address, on_ended);
    });
}

void ClientRequests::on_attempt_arrived(RequestId id, const std::string& runner, const std::string& address,
                                        const AttemptCallback& on_ended) {
    Runner* const found = platform_.find_by_address(address);
    if (!found || environment_.now() < found->ready_at) {
        on_ended(AttemptResult::connect_failed);
        return;
    }
    if (found->id != runner) {
        on_ended(AttemptResult::misdirected);
        return;
    }
    if (found->busy >= found->slots) {
        ++outcomes_.runner_rejections;
        on_ended(AttemptResult::rejected);
        return;
    }
    Request& request = requests_[id];
    ++found->busy;
    ++outcomes_.runs;
    ++request.runs;
    if (request.runs > 1 && !request.idempotent) report("ran twice");
    if (request.guaranteed_not_run) report("answered as not run, and it runs later");
    const bool lost = environment_.random.happens(answer_loss_);
    request.runner = runner;
    environment_.events.after(request.work_ms * kMicrosPerMilli, [this, id, runner, lost, on_ended] {
        on_work_done(id, runner, lost, on_ended);
    });
}

void ClientRequests::on_work_done(RequestId id, const std::string& runner, bool answer_lost,
                                  const AttemptCallback& on_ended) {
    Runner* const working = platform_.find(runner);
    Request& request = requests_[id];
    if (!working || request.runner != runner) return;
    request.runner.clear();
    --working->busy;
    const bool crashed = working->ended && platform_.is_worker_down(working->worker);
    on_ended(answer_lost || crashed ? AttemptResult::outcome_unknown : AttemptResult::succeeded);
}

// ---- state

std::vector<RequestId> ClientRequests::unanswered(std::size_t proxy, Number proxy_incarnation) const {
    std::vector<RequestId> ids;
    for (const auto& [id, request] : requests_)
        if (request.proxy == proxy && request.proxy_incarnation == proxy_incarnation && !request.answered)
            ids.push_back(id);
    return ids;
}

ClientRequests::RouteOutcomes ClientRequests::outcomes_of(const std::string& route) const {
    const auto outcomes = outcomes_.routes.find(route);
    return outcomes == outcomes_.routes.end() ? RouteOutcomes() : outcomes->second;
}

int ClientRequests::count_status(int status) const {
    const auto count = outcomes_.statuses.find(status);
    return count == outcomes_.statuses.end() ? 0 : count->second;
}

}  // namespace gannethold::cluster::simulation
