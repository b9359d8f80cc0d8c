// Configurations that operators have proposed to the leader and that are not decided yet. Under one version
// one body is committed, ever: the first that got into an entry.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cluster/wire/messages.hpp"

namespace gannethold::cluster {

// Chosen by the caller; ties a result to its proposal.
using ProposalTicket = std::uint64_t;

struct Proposal {
    ProposalTicket ticket = 0;
    ConfigurationVersion version = 0;
    std::string body;  // a checked configuration
};

enum class ProposalOutcome {
    committed,  // this body is committed under its version, now or earlier
    conflict,   // another body is
    unknown,    // not known; the same may be proposed again
};

struct ProposalResult {
    ProposalTicket ticket = 0;
    ProposalOutcome outcome = ProposalOutcome::unknown;
};

// The outcome of a proposal that a committed entry has already decided; nullopt: it is open.
std::optional<ProposalOutcome> decided_outcome(const LogEntry& committed, ConfigurationVersion version,
                                               Digest digest);

class ProposalQueue {
  public:
    // digest: of the body.
    void add(Proposal proposal, Digest digest);
    bool empty() const { return pending_.empty(); }

    // The content of the entry after the head, with all that is pending: of each version the first body; the
    // highest version is in force. nullopt: the head has a record of every version already. In both cases
    // take_decided() gives the results once that entry, or the head, is committed.
    std::optional<LogEntry> next_entry(const LogEntry& head);

    // Removes those that the committed entry has decided.
    std::vector<ProposalResult> take_decided(const LogEntry& committed);
    // Removes all: another leader may still commit what is in an entry, so none is known to have failed.
    std::vector<ProposalResult> abandon();

  private:
    struct Pending {
        Proposal proposal;
        Digest digest = 0;
        LogIndex index = 0;  // of the entry that decides it; 0: in none yet
    };

    std::vector<Pending> pending_;  // oldest first
};

}  // namespace gannethold::cluster
