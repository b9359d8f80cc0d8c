// The sessions of the proxies with the coordinator.
#include <algorithm>
#include <iterator>

#include "proxies.hpp"

namespace gannethold::cluster::simulation {
namespace {

constexpr Micros kCoordinatorTimeout = 800'000;  // without a message of it, it counts as lost
constexpr Micros kLeaseRetryInterval = 2'000;

}  // namespace

bool Proxies::has_lost_session(const Proxy& proxy) {
    const bool is_gone =
        !cores_.at(*proxy.core).up || !coordinators_.find(*proxy.core, proxy.core_incarnation, proxy.term);
    if (proxy.cut_off) return environment_.now() > proxy.last_heartbeat + kCoordinatorTimeout;
    return is_gone;
}

void Proxies::drop_lost_session(std::size_t proxy, Actions& actions) {
    Proxy& dropping = at(proxy);
    if (!dropping.core || !has_lost_session(dropping)) return;
    const std::size_t core = *dropping.core;
    // A coordinator that is still there learns of it.
    if (cores_.at(core).up && coordinators_.find(core, dropping.core_incarnation, dropping.term))
        coordinators_.on_disconnected(core, proxy, dropping.session);
    dropping.core.reset();
    dropping.handler->on_coordinator_disconnected(environment_.now(), actions);
}

void Proxies::register_with_next(std::size_t proxy, Actions& actions) {
    Proxy& registering = at(proxy);
    const std::size_t core = registering.next_core++ % cores_.size();
    const CoreMachine& machine = cores_.at(core);
    Coordinator* const coordinator = coordinators_.find(core);
    const Micros now = environment_.now();
    if (!machine.up || !coordinator || now < machine.stalled_until) return;
    registering.core = core;
    registering.core_incarnation = machine.incarnation;
    registering.term = coordinator->term;
    registering.session = ++last_session_;
    registering.last_heartbeat = now;
    registering.next_delivery = now;
    coordinator->proxies.insert(proxy);
    const auto rank = static_cast<std::uint32_t>(
        std::distance(coordinator->proxies.begin(), coordinator->proxies.find(proxy)));
    const auto count = static_cast<std::uint32_t>(proxies_.size());
    ProxyOutbox messages;
    messages.send(registering.session, RegisterResponse{registering.term, rank, count, {}});
    coordinator->slot_table.on_proxy_registered(now, registering.session,
                                                registering.handler->make_registration(), messages);
    configure_from(machine, registering);
    send(core, messages);
    registering.handler->on_coordinator_registered(now, actions);
}

void Proxies::configure_from(const CoreMachine& core, Proxy& proxy) {
    const LogEntry* const entry = core.consensus ? core.consensus->committed_entry() : nullptr;
    if (!entry || entry->version <= proxy.handler->version()) return;
    const bool may_answer = core.consensus->has_lease(environment_.now()) ||
                            environment_.has_fault(PlantedFault::configure_without_lease);
    if (!may_answer) return;
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(configuration, Configuration::parse(entry->body));
            proxy.handler->configure(configuration);
            proxy.newest_version = std::max(proxy.newest_version, proxy.handler->version());
            return {};
        },
        [] {});
}

// ---- from the coordinator

void Proxies::configure(std::size_t proxy, const std::shared_ptr<const Configuration>& configuration) {
    Proxy& receiver = at(proxy);
    if (receiver.cut_off) return;
    const Number version = configuration->version();
    const Number before = receiver.handler->version();
    if (before > 0 && version < receiver.newest_version && before < receiver.newest_version)
        environment_.violations.report("a proxy went back to an older configuration");
    receiver.handler->configure(configuration);
    receiver.newest_version = std::max(receiver.newest_version, version);
    if (receiver.handler->version() < receiver.newest_version)
        environment_.violations.report("a proxy went back to an older configuration");
}

void Proxies::send(std::size_t core, const ProxyOutbox& messages) {
    for (const ProxyMessage& sent : messages) environment_.recorder.add_message(core, sent.to, sent.message);
    for (const ProxyMessage& sent : messages)
        for (std::size_t proxy = 0; proxy < proxies_.size(); ++proxy) {
            Proxy& receiver = at(proxy);
            if (receiver.session != sent.to || receiver.core != core) continue;
            receiver.next_delivery =
                std::max(receiver.next_delivery, environment_.now() + environment_.shape.delay);
            environment_.events.at(receiver.next_delivery,
                                   [this, proxy, session = sent.to, message = sent.message] {
                                       receive(proxy, session, message);
                                   });
        }
}

void Proxies::receive(std::size_t proxy, Session session, const Message& message) {
    Proxy& receiver = at(proxy);
    if (receiver.cut_off || receiver.session != session || !receiver.core) return;
    receiver.last_heartbeat = environment_.now();
    Actions actions;
    receiver.handler->on_message(environment_.now(), message, actions);
    carry_out(proxy, actions);
}

// ---- to the coordinator

void Proxies::send_to_coordinator(std::size_t proxy, const Message& message) {
    const Proxy& sender = at(proxy);
    environment_.recorder.add_message(proxy, sender.session, message);
    if (!sender.core) return;
    environment_.events.after(environment_.shape.delay,
                              [this, proxy, core = *sender.core, incarnation = sender.core_incarnation,
                               term = sender.term, session = sender.session, message] {
                                  receive_at_coordinator(proxy, core, incarnation, term, session, message);
                              });
}

void Proxies::receive_at_coordinator(std::size_t proxy, std::size_t core, Number incarnation, Number term,
                                     Session session, const Message& message) {
    const CoreMachine& machine = cores_.at(core);
    const bool is_there = machine.up && coordinators_.find(core, incarnation, term);
    if (!is_there || at(proxy).cut_off) return;
    if (!cores_.is_leading(core)) {
        // Kept by the connection while the machine is stalled, and by the coordinator until the lease is
        // back.
        const Micros retry_at = std::max(environment_.now(), machine.stalled_until) + kLeaseRetryInterval;
        environment_.events.at(retry_at, [this, proxy, core, incarnation, term, session, message] {
            receive_at_coordinator(proxy, core, incarnation, term, session, message);
        });
        return;
    }
    coordinators_.on_message(core, session, message);
}

}  // namespace gannethold::cluster::simulation
