// What must be true of a cluster whatever happens: one leader a term and one that acts, one body a version,
// nothing acknowledged that is lost or rejected later, no read of what is older than an acknowledgement
// before it, no answer by a machine that has long been cut off.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>

#include "core_machines.hpp"
#include "environment.hpp"
#include "network.hpp"

namespace gannethold::cluster::simulation {

/// A configuration that an operator put at a core. Bodies are large and many: their hashes are kept.
struct Proposal {
    using BodyHash = std::size_t;

    Number version = 0;
    std::size_t core = 0;
    BodyHash body = 0;
    Micros sent_at = 0;
};

Proposal::BodyHash hash_of(const std::string& body);

/// Keeps the history of one simulation and reports to its violations.
class InvariantChecker {
  public:
    InvariantChecker(Environment& environment, const Network& network, const CoreMachines& cores);

    /// After each step of that core's state machine.
    void check_step(std::size_t core);
    void on_proposed(const Proposal& proposal);
    void on_acknowledged(const Proposal& proposal);
    void on_rejected(const Proposal& proposal);
    /// That core answered an operator's read with this entry.
    void on_read(std::size_t core, const LogEntry& entry);
    /// That core gave a proxy that registered this entry.
    void on_registered(std::size_t core, const LogEntry& entry);
    /// The highest version that any operator was told is committed.
    Number acknowledged() const { return acknowledged_; }

  private:
    void check_committed(std::size_t core);
    void check_leader(std::size_t core);
    /// A quorum has the entry, or had it on a disk that was lost since.
    void check_disks(const LogEntry& entry);
    void check_contact(std::size_t core, Micros requested_at, const std::string& what);
    Number acknowledged_by(Micros when) const;
    void report(const std::string& what) { environment_.violations.report(what); }

    Environment& environment_;
    const Network& network_;
    const CoreMachines& cores_;
    std::map<std::size_t, LogPosition> newest_checked_;  // by core
    std::map<Number, std::size_t> leader_of_term_;
    std::map<Number, Proposal::BodyHash> committed_bodies_;
    std::map<Number, Proposal::BodyHash> acknowledged_bodies_;
    std::map<Number, std::set<Proposal::BodyHash>> proposed_bodies_;
    std::map<Number, std::set<Proposal::BodyHash>> rejected_bodies_;
    Number acknowledged_ = 0;
    std::map<Micros, Number> acknowledged_at_;  // the highest version, by time
};

}  // namespace gannethold::cluster::simulation
