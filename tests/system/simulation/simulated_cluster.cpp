#include "simulated_cluster.hpp"

namespace gannethold::cluster::simulation {

SimulatedCluster::SimulatedCluster(const ClusterShape& shape)
    : environment_(shape),
      network_(environment_),
      cores_(environment_, network_, *this),
      checker_(environment_, network_, cores_),
      operators_(environment_, cores_, checker_, configuration_),
      platform_(environment_, configuration_),
      coordinators_(environment_, cores_, platform_),
      requests_(environment_, configuration_, platform_),
      proxies_(environment_, cores_, coordinators_, platform_, requests_) {
    coordinators_.connect(proxies_);
    cores_.start_all();
    proxies_.start_all();
}

void SimulatedCluster::on_proposal_result(std::size_t core, const ProposalResult& result) {
    operators_.on_proposal_result(core, result);
}

void SimulatedCluster::on_core_step(std::size_t core) {
    checker_.check_step(core);
    coordinators_.update_role(core);
}

void SimulatedCluster::on_core_tick(std::size_t core) { coordinators_.tick(core); }

void SimulatedCluster::on_core_closed(std::size_t core) { coordinators_.close(core); }

}  // namespace gannethold::cluster::simulation
