#include "proxies.hpp"

#include <algorithm>
#include <iterator>

namespace gannethold::cluster::simulation {
namespace {

constexpr Micros kFirstTick = 1'000;
constexpr Micros kTickInterval = 20'000;
constexpr Micros kRestartDelay = 500'000;

}  // namespace

Proxies::Proxies(Environment& environment, const CoreMachines& cores, Coordinators& coordinators,
                 Platform& platform, ClientRequests& requests)
    : environment_(environment),
      cores_(cores),
      coordinators_(coordinators),
      platform_(platform),
      requests_(requests) {
    for (std::size_t number = 0; number < environment.shape.proxies; ++number) {
        proxies_.push_back(std::make_unique<Proxy>());
        Proxy& proxy = at(number);
        // The names are part of the recorded digests.
        proxy.name = "front-" + std::to_string(number);
        proxy.zone = zone_of(number);
        make_handler(number, environment.shape.seed + number);
    }
}

void Proxies::start_all() {
    for (std::size_t proxy = 0; proxy < proxies_.size(); ++proxy)
        environment_.events.after(kFirstTick, [this, proxy] { tick(proxy); });
}

void Proxies::make_handler(std::size_t proxy, std::uint64_t random_seed) {
    Proxy& starting = at(proxy);
    starting.handler = std::make_unique<RequestHandler>(
        RequestHandler::Options{starting.name, starting.zone, starting.incarnation + 1, random_seed});
}

void Proxies::request(std::size_t proxy, const std::string& route, int work_ms, int deadline_ms) {
    Proxy& receiver = at(proxy);
    if (!receiver.accepts_connections) {
        requests_.on_not_connected();
        return;
    }
    const RequestId id = requests_.open(proxy, receiver.incarnation, route, work_ms);
    Actions actions;
    receiver.handler->on_request(environment_.now(), id, "h.example", "/" + route + "/x",
                                 static_cast<std::uint32_t>(deadline_ms), actions);
    carry_out(proxy, actions);
}

void Proxies::tick(std::size_t proxy) {
    Proxy& ticking = at(proxy);
    const Number incarnation = ticking.incarnation;
    Actions actions;
    drop_lost_session(proxy, actions);
    if (!ticking.core && !ticking.cut_off) register_with_next(proxy, actions);
    if (!ticking.shutdown.has_begun() && ticking.handler->configuration()) ticking.accepts_connections = true;
    ticking.handler->tick(environment_.now(), actions);
    carry_out(proxy, actions);
    check_probed_addresses(proxy);
    if (ticking.shutdown.has_begun()) advance_shutdown(proxy);
    environment_.events.after(kTickInterval, [this, proxy, incarnation] {
        if (at(proxy).incarnation == incarnation) tick(proxy);
    });
}

void Proxies::check_probed_addresses(std::size_t proxy) {
    Proxy& probing = at(proxy);
    for (auto probed = probing.probed_addresses.begin(); probed != probing.probed_addresses.end();) {
        const std::string address = probed->first;
        const Runner* const runner = platform_.find_by_address(address);
        if (!runner || environment_.now() < runner->ready_at) {
            ++probed;
            continue;
        }
        Actions actions;
        probing.handler->on_probe_completed(address, true, actions);
        probed = probing.probed_addresses.erase(probed);
        carry_out(proxy, actions);
    }
}

// ---- what its handler asks for

void Proxies::carry_out(std::size_t proxy, const Actions& actions) {
    environment_.recorder.add_actions(proxy, actions);
    for (const Message& message : actions.messages) send_to_coordinator(proxy, message);
    for (const auto& reply : actions.local_replies) requests_.on_reply(reply.request, reply.error);
    for (const RequestId request : actions.relayed_responses) requests_.on_relay(request);
    for (const RequestId request : actions.cancelled_attempts) requests_.cancel_attempt(request);
    for (const std::string& address : actions.probed_addresses)
        at(proxy).probed_addresses[address] = environment_.now();
    for (const auto& attempt : actions.forwards) forward(proxy, attempt);
}

void Proxies::forward(std::size_t proxy, const Actions::Forward& attempt) {
    const RequestId id = attempt.request;
    const auto on_ended = [this, proxy, id, incarnation = at(proxy).incarnation](AttemptResult result) {
        if (environment_.has_fault(PlantedFault::retry_after_timeout) &&
            result == AttemptResult::outcome_unknown)
            result = AttemptResult::not_sent;
        environment_.after_hop([this, proxy, id, incarnation, result] {
            if (at(proxy).incarnation != incarnation) return;
            Actions actions;
            at(proxy).handler->on_attempt_completed(environment_.now(), id, result, actions);
            carry_out(proxy, actions);
        });
    };
    requests_.attempt(id, attempt.runner, attempt.address, on_ended);
}

// ---- end

void Proxies::delay_messages(std::size_t proxy, Micros delay) {
    Proxy& delayed = at(proxy);
    delayed.next_delivery = std::max(delayed.next_delivery, environment_.now()) + delay;
}

void Proxies::kill(std::size_t proxy) {
    Proxy& killed = at(proxy);
    if (killed.core) {
        const Coordinator* const coordinator = coordinators_.find(*killed.core);
        if (coordinator && coordinator->term == killed.term)
            coordinators_.on_disconnected(*killed.core, proxy, killed.session);
    }
    ++killed.incarnation;
    killed.core.reset();
    killed.newest_version = 0;
    killed.probed_addresses.clear();
    killed.shutdown = {};
    make_handler(proxy, environment_.shape.seed + proxy + killed.incarnation * 100);
    environment_.events.after(kRestartDelay, [this, proxy] { tick(proxy); });
}

void Proxies::shut_down(std::size_t proxy, Micros grace) {
    Proxy& ending = at(proxy);
    const Micros now = environment_.now();
    ending.shutdown.begin(now, grace);
    if (environment_.has_fault(PlantedFault::end_without_answers)) return;
    Actions actions;
    ending.handler->begin_shutdown(now, ending.shutdown.response_deadline(), actions);
    carry_out(proxy, actions);
}

void Proxies::advance_shutdown(std::size_t proxy) {
    Proxy& ending = at(proxy);
    for (;;) {
        const std::size_t open = requests_.unanswered(proxy, ending.incarnation).size();
        switch (ending.shutdown.next_step(environment_.now(), open)) {
            case Shutdown::Step::none:
                return;
            case Shutdown::Step::close_idle:
                ending.accepts_connections = false;
                break;
            case Shutdown::Step::answer_pending: {
                if (environment_.has_fault(PlantedFault::end_without_answers)) break;
                Actions actions;
                ending.handler->answer_all_pending(environment_.now(), actions);
                carry_out(proxy, actions);
                break;
            }
            case Shutdown::Step::stop:
                stop(proxy);
                return;
        }
    }
}

void Proxies::stop(std::size_t proxy) {
    for (const RequestId id : requests_.unanswered(proxy, at(proxy).incarnation))
        environment_.violations.report("proxy " + std::to_string(proxy) + " ended, and request " +
                                       std::to_string(id) + " has no answer");
    kill(proxy);
}

}  // namespace gannethold::cluster::simulation
