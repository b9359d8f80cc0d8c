// gannethold-controller: replicates the shared state with the other controllers and serves the operators'
// API. While it is the leader, it also coordinates the slots of all runners and starts and stops runners.
#include <algorithm>
#include <utility>

#include "net/loop.hpp"
#include "cluster/base/events.hpp"
#include "cluster/controller/controller_status.hpp"
#include "cluster/controller/coordinator_role.hpp"
#include "cluster/controller/durable_consensus.hpp"
#include "cluster/controller/graceful_shutdown.hpp"
#include "cluster/controller/inbound_connections.hpp"
#include "cluster/controller/operator_api.hpp"
#include "cluster/controller/peer_connections.hpp"
#include "cluster/programs/explain_resource.hpp"
#include "cluster/programs/exchange_rate_flags.hpp"
#include "cluster/programs/process.hpp"

namespace gannethold::cluster {
namespace {

constexpr Micros kSweepInterval = 500'000;
constexpr Micros kSettingsPollInterval = 2'000'000;

// Owns the components of the program and connects their events.
class Controller {
  public:
    Controller(net::Loop& loop, Settings settings);

  private:
    DurableConsensus::Callbacks consensus_callbacks();
    InboundConnections::Callbacks connection_callbacks();

    void on_controller_message(const std::string& member, const Message& message);
    void on_step_completed();
    void on_storage_failed();
    void on_settings_changed(const Settings& settings);
    void on_shutdown();
    void on_timer();
    void sweep(Micros now);
    void set_timer();

    net::Loop& loop_;
    Settings settings_;
    DurableConsensus consensus_;
    PeerConnections peers_;
    OperatorApi operator_api_;
    InboundConnections connections_;
    CoordinatorRole role_;
    GracefulShutdown shutdown_;
    ExplainResource explain_;
    SettingsWatcher settings_watcher_;
    ShutdownSignals signals_;
    net::Timer timer_;
    Micros next_sweep_ = 0;
    Micros next_settings_poll_ = 0;
};

Controller::Controller(net::Loop& loop, Settings settings)
    : loop_(loop),
      settings_(std::move(settings)),
      consensus_(settings_, consensus_callbacks()),
      peers_(loop, settings_),
      operator_api_(loop, address_or_exit(settings_.control_plane_address, "listen_addresses.control_plane"),
                    settings_, consensus_),
      connections_(loop,
                   address_or_exit(settings_.ip_address + ":" + std::to_string(settings_.internal_port),
                                   "internal_port_range"),
                   connection_callbacks()),
      role_(loop, settings_, exchange_rates_from_flags(), consensus_, connections_,
            [this](const LogEntry& entry) { return operator_api_.parsed_configuration(entry); }),
      explain_(loop,
               [this](const std::string& part) {
                   return controller_status(net::Loop::now(), part, settings_, consensus_.consensus(),
                                            role_.coordinator());
               }),
      settings_watcher_(loop, [this](const Settings& changed) { on_settings_changed(changed); }),
      signals_(loop, [this] { on_shutdown(); }),
      timer_(loop, [this] { on_timer(); }) {
    on_timer();
}

DurableConsensus::Callbacks Controller::consensus_callbacks() {
    return {
        [this](const std::string& member, const Message& message) { peers_.send(member, message); },
        [this](const ProposalResult& result) { operator_api_.on_proposal_resolved(result); },
        [this] { on_step_completed(); },
        [this] { on_storage_failed(); },
    };
}

InboundConnections::Callbacks Controller::connection_callbacks() {
    return {
        [this](const std::string& member, const Message& message) { on_controller_message(member, message); },
        [this](Session session, const RegisterRequest& registration) {
            role_.on_registered(session, registration);
        },
        [this](Session session, const Message& message) { role_.on_message(session, message); },
        [this](Session session) { role_.on_disconnected(session); },
    };
}

void Controller::on_controller_message(const std::string& member, const Message& message) {
    const Micros now = net::Loop::now();
    peers_.on_received_from(member, now);
    consensus_.on_message(now, member, message);
}

void Controller::on_step_completed() {
    role_.update();
    set_timer();
}

void Controller::on_storage_failed() {
    role_.stop_coordinator();
    operator_api_.on_storage_failed();
    set_timer();
}

void Controller::on_settings_changed(const Settings& settings) {
    settings_.seed_addresses = settings.seed_addresses;
    consensus_.set_seeds(settings.seed_addresses);
}

void Controller::on_shutdown() {
    Event("shutdown_started").with("pending", operator_api_.pending_proposals());
    role_.begin_shutdown();
    consensus_.begin_leaving(net::Loop::now());
    role_.stop_coordinator();
    operator_api_.begin_shutdown();
    shutdown_.begin(net::Loop::now(), settings_.grace_period);
    set_timer();
}

void Controller::on_timer() {
    const Micros now = net::Loop::now();
    consensus_.on_timer(now);
    role_.tick(now);
    if (now >= next_sweep_) sweep(now);
    if (shutdown_.is_complete(now, !consensus_.consensus() || consensus_.consensus()->can_stop()))
        loop_.stop();
    set_timer();
}

void Controller::sweep(Micros now) {
    next_sweep_ = now + kSweepInterval;
    operator_api_.sweep(now);
    explain_.sweep(now);
    role_.sweep();
    connections_.sweep(now);
    peers_.sweep(now);
    if (now >= next_settings_poll_) {
        next_settings_poll_ = now + kSettingsPollInterval;
        settings_watcher_.poll();
    }
}

void Controller::set_timer() {
    const Micros now = net::Loop::now();
    Micros next = std::min({next_sweep_, consensus_.next_timer(), role_.next_tick(now)});
    if (shutdown_.has_begun()) next = std::min(next, now + GracefulShutdown::kPollInterval);
    timer_.set(next);
}

}  // namespace
}  // namespace gannethold::cluster

int main(int argc, char** argv) {
    using namespace gannethold;
    return cluster::run_process<cluster::Controller>(
        argc, argv,
        "gannethold-controller replicates the system's shared state; the leader also manages slots and "
        "runners.\n"
        "Its addresses and limits are read from the settings file.");
}
