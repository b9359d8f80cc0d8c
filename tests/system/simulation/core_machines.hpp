// The machines of the core: their processes with the consensus state machine, their disks and faults.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cluster/consensus/consensus.hpp"
#include "environment.hpp"
#include "network.hpp"

namespace gannethold::cluster::simulation {

struct CoreMachine {
    std::string address;
    bool up = false;  // its process runs, with or without a usable disk
    bool disk_works = true;
    bool crashes_at_next_write = false;
    bool first_start = true;  // it may found a cluster
    bool retired = false;     // gone for good
    bool restarts_after_shutdown = false;
    Number incarnation = 0;  // changes with each start and end of the process
    PersistentState disk;
    std::optional<Consensus> consensus;  // none while the machine is down or its disk fails
    LogPosition newest_synced;           // that was ever on a disk at this address
    Micros shutdown_deadline = 0;        // 0: it is not shutting down
    Micros stalled_until = 0;
    Micros reopen_at = 0;  // when a disk that failed is opened again
};

/// What the other parts of a simulation learn from the core machines.
class CoreObserver {
  public:
    CoreObserver() = default;
    CoreObserver(const CoreObserver&) = delete;
    CoreObserver& operator=(const CoreObserver&) = delete;
    virtual ~CoreObserver() = default;

    virtual void on_proposal_result(std::size_t core, const ProposalResult& result) = 0;
    /// The state machine took a step; its role or its committed entry may be another now.
    virtual void on_core_step(std::size_t core) = 0;
    /// Regularly, while the process runs and isn't stalled.
    virtual void on_core_tick(std::size_t core) = 0;
    /// Its state machine is about to end.
    virtual void on_core_closed(std::size_t core) = 0;
};

class CoreMachines {
  public:
    /// Starts nothing: see start_all().
    CoreMachines(Environment& environment, Network& network, CoreObserver& observer);

    // ---- faults and changes
    void start_all();
    /// No effect on a machine that runs or is retired.
    void start(std::size_t core);
    /// An empty machine at a new address, started at once; returns its number.
    std::size_t add();
    /// Likewise, in the place of that one among the seeds.
    std::size_t add_successor(std::size_t core);
    void kill(std::size_t core, bool lose_disk = false);
    /// Kills it at its next write, which reaches the disk or doesn't by chance; it starts again soon after.
    void crash_at_next_write(std::size_t core);
    /// It is gone for good, with its disk.
    void retire(std::size_t core);
    /// It leaves its roles, ends once it may or at the end of its grace time, and is retired or started
    /// again.
    void shut_down(std::size_t core, bool for_good);
    void set_disk_works(std::size_t core, bool works);
    /// Nothing comes in or goes out for that time, while the clock goes on.
    void stall(std::size_t core, Micros duration);
    /// It gives up leadership.
    void leave(std::size_t core);
    /// REQUIRES: the core has a state machine.
    void propose(std::size_t core, Number ticket, Number version, std::string body);

    // ---- state
    std::size_t size() const { return machines_.size(); }
    const CoreMachine& at(std::size_t core) const { return *machines_[core]; }
    /// Whether it has a state machine and isn't stalled.
    bool is_responsive(std::size_t core) const;
    /// Whether it has the lease of a leader, and is responsive.
    bool is_leading(std::size_t core) const;
    bool is_recovering(std::size_t core) const;
    std::optional<std::size_t> leader() const;
    std::size_t leader_count() const;
    /// At the leader; 0: none.
    Number committed_version() const;
    std::size_t voter_count() const;
    std::size_t learner_count() const;
    /// Whether none of the leader's voters is retired.
    bool has_only_live_voters() const;
    /// The highest term of any core.
    Number term() const;
    /// The version on the disk of that core.
    Number version_on_disk(std::size_t core) const { return at(core).disk.entry.version; }
    /// Shutdowns that took longer than their grace time.
    int overdue_shutdowns() const { return overdue_shutdowns_; }
    /// The state of every core, for failure messages.
    std::string describe() const;

  private:
    CoreMachine& machine(std::size_t core) { return *machines_[core]; }
    void open(std::size_t core);
    void tick(std::size_t core);
    void end_if_allowed(std::size_t core);
    void close_consensus(std::size_t core);
    void handle_output(std::size_t core, const ConsensusOutput& out);
    /// False: the machine crashed or its disk failed, and nothing more may leave it.
    bool write_disk(std::size_t core);
    void send(std::size_t core, const ConsensusOutput& out);
    void receive(std::size_t from, std::size_t to, const Message& message, Number incarnation);

    Environment& environment_;
    Network& network_;
    CoreObserver& observer_;
    std::vector<std::unique_ptr<CoreMachine>> machines_;  // in place, whatever is added
    std::vector<std::string> seeds_;
    int overdue_shutdowns_ = 0;
};

}  // namespace gannethold::cluster::simulation
