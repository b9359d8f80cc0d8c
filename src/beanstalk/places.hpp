// Tubes as workloads: each named tube has one, its own or one that it shares with the other fronts, and as
// many more stand ready as unnamed tubes may be in use at once. They are added to the standing orders before
// the module reads them.
#pragma once

#include <map>
#include <string>

#include "beanstalk/exchange.hpp"
#include "types.hpp"

namespace gannethold::beanstalk {

struct Workloads {
    Exchange::Places places;
    std::map<WorkloadId, std::string> names;  // of those that were added, for an operator's view
    WorkloadSet for_pushed;                   // what runners that are pushed to may be given
};

// Throws std::runtime_error with one line: a tube that shares a workload there is none of, or one whose
// repeats only its runners can drop; more tubes than the module has places for.
Workloads add_workloads(SettingsMap& orders, Trade& trade);

}  // namespace gannethold::beanstalk
