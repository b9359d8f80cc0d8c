// Queue of the configurations that operators have proposed to the leader and that are not decided yet. At
// most one body is ever committed under a version: the first one that becomes part of an entry.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cluster/wire/messages.hpp"

namespace gannethold::cluster {

// Chosen by the caller; identifies the proposal in its result.
using ProposalId = std::uint64_t;

struct Proposal {
    ProposalId id = 0;
    ConfigurationVersion version = 0;
    std::string body;  // a valid configuration
};

enum class ProposalOutcome {
    committed,  // the body is committed under its version, by this proposal or an earlier one
    conflict,   // a different body is committed under the version
    unknown,    // undetermined; the client may propose the same body again
};

struct ProposalResult {
    ProposalId id = 0;
    ProposalOutcome outcome = ProposalOutcome::unknown;
};

// The outcome of a proposal that the committed entry has already decided; nullopt: undecided.
std::optional<ProposalOutcome> decided_outcome(const LogEntry& committed, ConfigurationVersion version,
                                               Digest digest);

class ProposalQueue {
  public:
    // `digest` is the digest of the proposal's body.
    void add(Proposal proposal, Digest digest);
    bool empty() const { return pending_.empty(); }

    // Returns the entry after the head with all pending proposals: the first body of each version, with the
    // highest version in force. Returns nullopt if the head already has a record of every pending version. In
    // both cases take_decided() returns the results once the new entry, or the head, is committed.
    std::optional<LogEntry> next_entry(const LogEntry& head);

    // Removes the proposals that the committed entry has decided, and returns their results.
    std::vector<ProposalResult> take_decided(const LogEntry& committed);
    // Removes all proposals with an unknown outcome: a later leader may still commit their entry.
    std::vector<ProposalResult> abandon();

  private:
    struct Pending {
        Proposal proposal;
        Digest digest = 0;
        LogIndex index = 0;  // of the entry that decides the proposal; 0: none yet
    };

    std::vector<Pending> pending_;  // oldest first
};

}  // namespace gannethold::cluster
