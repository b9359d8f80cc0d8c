// This machine's member of the core's consensus together with its disk: what a step of consensus wrote is
// synced before anything that follows from the step leaves the machine (Ongaro and Ousterhout, "In Search of
// an Understandable Consensus Algorithm", figure 2: "updated on stable storage before responding to RPCs").
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "cluster/base/settings.hpp"
#include "cluster/consensus/consensus.hpp"
#include "cluster/store/store.hpp"

namespace gannethold::cluster {

/// One thread: all calls come from the loop's. Times are those of net::Loop::now().
class DurableConsensus {
  public:
    /// Called within the call that made the step, after its state is on disk, in the order of the members.
    /// None of them may call back into the consensus.
    struct Callbacks {
        std::function<void(const std::string& member, const Message&)> send;
        std::function<void(const ProposalResult&)> on_proposal_resolved;
        /// The step is over: role, term and committed entry may have changed.
        std::function<void()> on_step_completed;
        /// The disk failed. state() is nullptr, nothing of the step was sent, and no proposal made before
        /// gets a result.
        std::function<void()> on_storage_failed;
    };

    /// `settings` must outlive this object. Nothing is opened before the first on_timer().
    DurableConsensus(const Settings& settings, Callbacks callbacks);

    /// nullptr while the disk can not be used.
    const Consensus* state() const { return consensus_ ? &*consensus_ : nullptr; }
    bool has_lease(Micros now) const { return consensus_ && consensus_->has_lease(now); }

    /// Opens the disk where it is not open, again every kReopenInterval; then lets time pass.
    void on_timer(Micros now);
    /// When to call on_timer() next.
    Micros next_timer() const { return consensus_ ? consensus_->next_timer() : reopen_at_; }

    // Without effect while the disk can not be used.
    void on_message(Micros now, const std::string& member, const Message& message);
    void begin_leaving(Micros now);
    void set_seeds(const std::vector<std::string>& seeds);

    /// REQUIRES: state() != nullptr. The result comes with on_proposal_resolved under the proposal's ticket.
    void propose(Micros now, Proposal proposal);

  private:
    void open(Micros now);
    void complete_step(const ConsensusOutput& output);
    bool write_state();

    const Settings& settings_;
    Callbacks callbacks_;
    Store store_;
    std::optional<Consensus> consensus_;  // empty: the disk can not be used
    Micros reopen_at_ = 0;                // where consensus_ is empty
};

}  // namespace gannethold::cluster
