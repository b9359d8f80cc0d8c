// Operators who put and read configurations, and proxies that register and do no more.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "configuration_template.hpp"
#include "core_machines.hpp"
#include "environment.hpp"
#include "invariant_checker.hpp"

namespace gannethold::cluster::simulation {

class Operators {
  public:
    /// Requests that got an answer, by kind.
    struct Counts {
        int acknowledged = 0;
        int conflicts = 0;
        int reads = 0;
        int registrations = 0;
    };

    Operators(Environment& environment, CoreMachines& cores, InvariantChecker& checker,
              const ConfigurationTemplate& configuration);

    /// Puts a configuration of that version at that core, which may redirect to the leader once. The mark
    /// sets its body apart from others of the same version.
    void put(Number version, std::size_t core, const std::string& mark = {});
    /// Reads the configuration at that core, which may redirect likewise.
    void read(std::size_t core);
    /// A proxy without a configuration registers at that core.
    void register_proxy(std::size_t core);
    void on_proposal_result(std::size_t core, const ProposalResult& result);
    const Counts& counts() const { return counts_; }

  private:
    /// The core that serves the request: that one, or the leader that it names.
    std::optional<std::size_t> serving_core(std::size_t core) const;
    /// What that core itself answers; nullptr: it redirects or doesn't answer.
    const LogEntry* readable_entry(std::size_t core, bool without_lease) const;
    void acknowledge(const Proposal& proposal);

    Environment& environment_;
    CoreMachines& cores_;
    InvariantChecker& checker_;
    const ConfigurationTemplate& configuration_;
    Number last_ticket_ = 0;
    std::map<Number, Proposal> pending_;  // by ticket
    Counts counts_;
};

}  // namespace gannethold::cluster::simulation
