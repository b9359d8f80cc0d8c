// Consensus rules with one fault each, to show that the checks of the simulated system detect it.
#pragma once

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "cluster/consensus/rules.hpp"

namespace gannethold::cluster::tests {

// During a membership change, no majority of the outgoing voters is required.
class IncomingMajorityOnly final : public ConsensusRules {
  public:
    bool needs_outgoing_majority(const LogEntry&) const override { return false; }
};

// A learner becomes a voter before it has the state.
class LearnersVoteAtOnce final : public ConsensusRules {
  public:
    bool has_caught_up(const LearnerProgress&, const LogPosition&) const override { return true; }
};

// The voters are replaced in one step.
class NoJointConsensus final : public ConsensusRules {
  public:
    LogEntry begin_membership_change(const LogEntry& head, std::vector<std::string> members) const override {
        LogEntry changed = head;
        changed.members = std::move(members);
        return changed;
    }
};

// Sends all chunks of the complete entry at once, and again on a timer, regardless of acknowledgements.
class ResendsCompleteEntry final : public ConsensusRules {
  public:
    bool is_transfer_due(const EntrySender& sender, Micros now) const override {
        return !sender.is_active() || now >= sender.started_at() + kResendInterval;
    }
    LogPosition transfer_base(const LogPosition&) const override { return {}; }
    std::vector<EntryChunk> first_chunks(EntrySender& sender, Term term, Round round,
                                         Micros now) const override {
        const EntryChunk first = sender.chunk(term, round, now);
        const std::string& payload = sender.payload();
        std::vector<EntryChunk> chunks;
        for (std::size_t offset = 0; offset < payload.size(); offset += kMaxChunkBytes) {
            EntryChunk chunk = first;
            chunk.offset = offset;
            chunk.bytes = payload.substr(offset, kMaxChunkBytes);
            chunks.push_back(std::move(chunk));
        }
        return chunks;
    }

  private:
    static constexpr Micros kResendInterval = 400'000;
};

}  // namespace gannethold::cluster::tests
