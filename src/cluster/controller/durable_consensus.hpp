// This machine's consensus member together with its storage. State changes of a consensus step are synced to
// disk before any message of the step is sent (Ongaro and Ousterhout, "In Search of an Understandable
// Consensus Algorithm", figure 2: "updated on stable storage before responding to RPCs").
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "cluster/base/settings.hpp"
#include "cluster/consensus/consensus.hpp"
#include "cluster/store/store.hpp"

namespace gannethold::cluster {

/// Not thread-safe: all calls must come from the loop's thread. Times are those of net::Loop::now().
class DurableConsensus {
  public:
    /// Called by the method that performed the step, after its state is on disk, in the order of the members
    /// below. A callback must not call back into the consensus.
    struct Callbacks {
        std::function<void(const std::string& member, const Message&)> send;
        std::function<void(const ProposalResult&)> on_proposal_resolved;
        /// The step is complete; the role, the term and the committed entry may have changed.
        std::function<void()> on_step_completed;
        /// The disk failed. consensus() is nullptr, no message of the step was sent, and pending proposals
        /// get no result.
        std::function<void()> on_storage_failed;
    };

    /// `settings` must outlive this object. The storage is opened by the first on_timer().
    DurableConsensus(const Settings& settings, Callbacks callbacks);

    /// nullptr while the disk is unusable.
    const Consensus* consensus() const { return consensus_ ? &*consensus_ : nullptr; }
    bool has_lease(Micros now) const { return consensus_ && consensus_->has_lease(now); }

    /// Opens the storage if it is not open, with retries every kReopenInterval, and performs due consensus
    /// work.
    void on_timer(Micros now);
    /// When to call on_timer() next.
    Micros next_timer() const { return consensus_ ? consensus_->next_timer() : reopen_at_; }

    // No-ops while the disk is unusable.
    void on_message(Micros now, const std::string& member, const Message& message);
    void begin_leaving(Micros now);
    void set_seeds(const std::vector<std::string>& seeds);

    /// The result is reported to on_proposal_resolved with the proposal's id.
    /// REQUIRES: consensus() != nullptr.
    void propose(Micros now, Proposal proposal);

  private:
    void open(Micros now);
    void complete_step(const ConsensusOutput& output);
    bool write_state();

    const Settings& settings_;
    Callbacks callbacks_;
    Store store_;
    std::optional<Consensus> consensus_;  // empty while the disk is unusable
    Micros reopen_at_ = 0;                // next attempt to open the storage while consensus_ is empty
};

}  // namespace gannethold::cluster
