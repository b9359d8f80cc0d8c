#include "cluster/controller/coordinator_role.hpp"

#include <limits>
#include <utility>

#include "cluster/base/events.hpp"

namespace gannethold::cluster {
namespace {

constexpr std::size_t kMaxDeferredMessages = 20'000;  // from proxies, while the lease has expired

}  // namespace

CoordinatorRole::CoordinatorRole(net::Loop& loop, const Settings& settings, const ExchangeRates& rates,
                                 const DurableConsensus& consensus, InboundConnections& connections,
                                 ParsedConfigurationLookup find_parsed)
    : loop_(loop),
      settings_(settings),
      rates_(rates),
      consensus_(consensus),
      connections_(connections),
      find_parsed_(std::move(find_parsed)) {}

void CoordinatorRole::update() {
    const Consensus* const consensus = consensus_.consensus();
    if (!consensus) return;
    const bool can_act_now = can_act(net::Loop::now());
    // A lease that expires because this machine is overloaded is regained with the next heartbeat round.
    // Until then messages are deferred, but the coordinator is kept: stopping it would make all proxies
    // register again while the machine is overloaded.
    if (coordinator_ && (!consensus->is_established_leader() || shutting_down_ ||
                         coordinator_->term() != consensus->current_term()))
        stop_coordinator();
    if (can_act_now && !coordinator_) start_coordinator();
    if (!coordinator_ || !can_act_now) return;
    if (const LogEntry* const entry = consensus->committed_entry())
        coordinator_->on_committed(*entry, find_parsed_(*entry));
    for (const auto& [session, message] : std::exchange(deferred_outbound_, {})) send(session, message);
    for (const auto& [session, message] : std::exchange(deferred_inbound_, {})) deliver(session, message);
}

void CoordinatorRole::start_coordinator() {
    coordinator_ = std::make_unique<Coordinator>(
        loop_, settings_, rates_, consensus_.consensus()->current_term(),
        [this](Session session, const Message& message) { send(session, message); });
    connections_.for_each_proxy([this](Session session, const RegisterRequest& registration) {
        coordinator_->on_registered(session, registration);
    });
}

void CoordinatorRole::stop_coordinator() {
    if (!coordinator_) return;
    Event("coordinator_stopped").with("term", coordinator_->term());
    stopped_.push_back(std::move(coordinator_));
    deferred_inbound_.clear();
    deferred_outbound_.clear();
    connections_.disconnect_proxies();
}

void CoordinatorRole::on_registered(Session session, const RegisterRequest& registration) {
    const bool had_coordinator = coordinator_ != nullptr;
    update();
    if (!coordinator_) return redirect(session);
    // A coordinator that update() has just started already has all registrations, including this one.
    if (had_coordinator) deliver(session, registration);
}

void CoordinatorRole::redirect(Session session) {
    const Consensus* const consensus = consensus_.consensus();
    const std::string leader = consensus ? consensus->leader() : std::string();
    connections_.send(session, Redirect{leader == settings_.control_plane_address ? std::string() : leader});
}

void CoordinatorRole::on_message(Session session, const Message& message) {
    if (coordinator_) deliver(session, message);
}

void CoordinatorRole::deliver(Session session, const Message& message) {
    if (!can_act(net::Loop::now())) {
        if (deferred_inbound_.size() < kMaxDeferredMessages)
            deferred_inbound_.push_back({session, message});
        else
            stop_coordinator();  // it would miss messages; proxies register again
        return;
    }
    if (const auto* registration = std::get_if<RegisterRequest>(&message))
        coordinator_->on_registered(session, *registration);
    else
        coordinator_->on_message(session, message);
}

void CoordinatorRole::send(Session session, const Message& message) {
    if (can_act(net::Loop::now()))
        connections_.send(session, message);
    else
        deferred_outbound_.push_back({session, message});
}

void CoordinatorRole::on_disconnected(Session session) {
    if (coordinator_) coordinator_->on_disconnected(session);
}

void CoordinatorRole::tick(Micros now) {
    if (coordinator_ && can_act(now)) coordinator_->tick(now);
}

Micros CoordinatorRole::next_tick(Micros now) const {
    return coordinator_ && can_act(now) ? coordinator_->next_tick() : std::numeric_limits<Micros>::max();
}

}  // namespace gannethold::cluster
