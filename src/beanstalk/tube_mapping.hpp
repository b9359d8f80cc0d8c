// Maps tubes to workloads. Each configured tube has a workload, either its own or one that it shares with the
// other fronts. A fixed number of further workloads is reserved for tubes that clients create by name. The
// workloads are added to the settings before the balancer reads them.
#pragma once

#include <map>
#include <string>

#include "beanstalk/tube_broker.hpp"
#include "types.hpp"

namespace gannethold::beanstalk {

// The workloads that add_workloads() added or selected.
struct TubeWorkloads {
    TubeBroker::TubeMapping mapping;
    std::map<WorkloadId, std::string>
        names;                     // display names of the added workloads, for the control interface
    WorkloadSet pushed_workloads;  // the workloads that runners over HTTP may serve
};

// Adds the workloads of the tubes to `settings`, and completes the plans of tubes that share a workload.
// Throws std::runtime_error with a one-line message if a shared workload does not exist, if its effect is
// `fingerprinted` (only runners over HTTP can deduplicate), or if there are more workloads than the balancer
// supports.
TubeWorkloads add_workloads(SettingsMap& settings, BrokerSettings& broker);

}  // namespace gannethold::beanstalk
