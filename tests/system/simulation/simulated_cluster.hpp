// A whole cluster on simulated time: the project's state machines for cores and proxies, and stand-ins for
// disks, network, platform, runners, clients and operators. No sockets, no clock, no sleep. Each step is
// checked against the invariants; violations() has what was broken.
#pragma once

#include "client_requests.hpp"
#include "configuration_template.hpp"
#include "coordinators.hpp"
#include "core_machines.hpp"
#include "environment.hpp"
#include "invariant_checker.hpp"
#include "network.hpp"
#include "operators.hpp"
#include "platform.hpp"
#include "proxies.hpp"

namespace gannethold::cluster::simulation {

/// Starts all machines; then time passes in run_until() only. The parts are public: what may happen to one
/// stands in its header.
class SimulatedCluster final : private CoreObserver {
  public:
    explicit SimulatedCluster(const ClusterShape& shape);

    Micros now() const { return environment_.now(); }
    void run_until(Micros until) { environment_.events.run_until(until); }
    void at(Micros when, EventQueue::Action action) { environment_.events.at(when, std::move(action)); }

    /// Before the first step: digest() is 0 otherwise.
    void record_digest() { environment_.recorder.enable(); }
    std::uint64_t digest() const { return environment_.recorder.digest(); }

    Violations& violations() { return environment_.violations; }
    ConfigurationTemplate& configuration() { return configuration_; }
    Network& network() { return network_; }
    CoreMachines& cores() { return cores_; }
    InvariantChecker& checker() { return checker_; }
    Operators& operators() { return operators_; }
    Platform& platform() { return platform_; }
    Coordinators& coordinators() { return coordinators_; }
    ClientRequests& requests() { return requests_; }
    Proxies& proxies() { return proxies_; }

  private:
    void on_proposal_result(std::size_t core, const ProposalResult& result) override;
    void on_core_step(std::size_t core) override;
    void on_core_tick(std::size_t core) override;
    void on_core_closed(std::size_t core) override;

    Environment environment_;
    ConfigurationTemplate configuration_;
    Network network_;
    CoreMachines cores_;
    InvariantChecker checker_;
    Operators operators_;
    Platform platform_;
    Coordinators coordinators_;
    ClientRequests requests_;
    Proxies proxies_;
};

}  // namespace gannethold::cluster::simulation
