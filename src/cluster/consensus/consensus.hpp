// Raft consensus of the core on one small register: the configuration in force, the versions that have been
// committed, and the voters.
//
// A quorum elects a leader for a term. Every change is a new LogEntry with the leader's term and the next
// index, and is committed once a quorum has it on disk. Unlike in Raft, only the last log entry is kept: each
// entry holds the complete state, so earlier entries are never needed.
//
// References: "Raft" in comments is Ongaro and Ousterhout, "In Search of an Understandable Consensus
// Algorithm" (extended version). "Thesis" is Ongaro, "Consensus: Bridging Theory and Practice", which adds
// pre-votes (9.6), leadership transfer (3.10) and leases (6.4.1). The recovery of a member that lost its disk
// follows Liskov and Cowling, "Viewstamped Replication Revisited", section 4.3.
//
// The implementation is split into consensus.cpp (public interface), election.cpp, replication.cpp (leader),
// follower.cpp, proposals.cpp, membership.cpp and recovery.cpp. docs/control-plane.md states the invariants
// and why they hold.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cluster/consensus/election_timer.hpp"
#include "cluster/consensus/entry_history.hpp"
#include "cluster/consensus/entry_transfer.hpp"
#include "cluster/consensus/leader_lease.hpp"
#include "cluster/consensus/membership_plan.hpp"
#include "cluster/consensus/peer.hpp"
#include "cluster/consensus/persistent_state.hpp"
#include "cluster/consensus/planned_leave.hpp"
#include "cluster/consensus/proposal_queue.hpp"
#include "cluster/consensus/quorum.hpp"
#include "cluster/consensus/recovery_state.hpp"
#include "cluster/consensus/rules.hpp"
#include "cluster/wire/messages.hpp"
#include "types.hpp"

namespace gannethold::cluster {

// What the caller of a Consensus method has to do, in this order:
//   1. If must_persist is set, write persistent_state() to disk and sync it. If that fails, discard the rest
//      of the output and the Consensus object, and construct the member again from the state on disk.
//   2. Send the messages and report the results. The caller need not handle lost messages: they are resent.
struct ConsensusOutput {
    struct OutboundMessage {
        std::string to;  // control_plane address of a core machine
        Message message;
    };
    bool must_persist = false;
    std::vector<OutboundMessage> messages;
    std::vector<ProposalResult> proposal_results;
};

// One member of the core, as a state machine without I/O.
//
// Not thread-safe: all calls must come from one thread. `now` is the time of a steady clock in microseconds;
// all calls must use the same clock.
class Consensus {
  public:
    struct Options {
        std::string self;                // control_plane address of this member, which identifies it
        std::vector<std::string> seeds;  // queried for recovery; at bootstrap, the initial members
        bool bootstrap = false;          // creates the core from the seeds if the disk holds no member
        Micros heartbeat_interval = 90'000;
        // A member does not vote for another candidate until the leader has been silent for this time.
        Micros election_timeout = 450'000;
        // Shorter than the election timeout by more than the clock drift between members in that time.
        Micros lease_duration = 330'000;
        Micros replace_after = 1'000'000;  // silence of a voter after which a learner replaces it
        Micros remove_after = 2'000'000;  // silence of voters after which they are removed without successors
        std::uint64_t random_seed = 1;    // must differ between members
        const ConsensusRules* rules = &ConsensusRules::standard();  // not owned; must outlive the member
    };

    // `state` is the state on disk, or default values if there is none.
    //
    // After a start, a member waits one election timeout before it votes for a candidate other than the
    // leader whose heartbeat it answered last, since it does not know how long ago that was. It may vote for
    // that leader at once: a leader that requests votes has restarted and holds no lease.
    Consensus(Options options, PersistentState state, Micros now);

    // REQUIRES: called once, before any other method below.
    [[nodiscard]] ConsensusOutput start();
    // Ignores messages that are not part of the consensus protocol.
    [[nodiscard]] ConsensusOutput on_message(Micros now, const std::string& from, const Message& message);
    // Must be called at next_timer(); more frequent calls are allowed.
    [[nodiscard]] ConsensusOutput on_timer(Micros now);
    Micros next_timer() const { return next_timer_; }

    // Proposes a configuration; only the leader accepts it. The result is part of this output or a later one.
    // At most one body is ever committed under a version. A proposal that repeats a committed body succeeds
    // again. A version below the newest one is recorded, but does not replace the configuration in force.
    [[nodiscard]] ConsensusOutput propose(Micros now, Proposal proposal);

    // Prepares a planned stop: a leader transfers leadership, any other member asks the leader for permission
    // to stop.
    [[nodiscard]] ConsensusOutput begin_leaving(Micros now);
    // After begin_leaving(): whether a quorum without this member has stored all committed entries.
    bool can_stop() const { return leave_.can_stop(); }

    void set_seeds(std::vector<std::string> seeds) { options_.seeds = std::move(seeds); }

    // The reference is valid until the next non-const call.
    const PersistentState& persistent_state() const { return state_; }
    // Whether this member is the leader of its term, has committed an entry in it (Raft, section 8) and has
    // not transferred leadership. It may act on behalf of the core only while has_lease() is true as well.
    bool is_established_leader() const;
    // Whether this member is the established leader and no other member can have been elected. If a lease
    // expires and is regained in the same term, no other member held one in between: a voter that has voted
    // for another member no longer responds in this term.
    bool has_lease(Micros now) const;
    // The newest entry known to be committed, or nullptr. Valid until the next non-const call.
    const LogEntry* committed_entry() const;
    // The leader of the current term; empty if unknown.
    const std::string& leader() const { return leader_; }
    Term current_term() const { return state_.voting_state.term; }
    // The voters of the newest entry, which may not be committed yet.
    const std::vector<std::string>& voters() const { return state_.entry.members; }
    // The learners; meaningful only while this member is the leader.
    const std::set<std::string>& learners() const { return learners_; }
    // Whether this machine is not a member: its disk was lost, it was removed, or it has not joined yet.
    bool is_recovering() const { return !state_.voting_state.is_member; }
    // When the last message from the machine arrived; 0: never.
    Micros last_contact(const std::string& member) const;

  private:
    // non_member: grants no lease and answers no vote request. pre_candidate: thesis, section 9.6.
    enum class Role { non_member, follower, pre_candidate, candidate, leader };

    // ---- consensus.cpp ----
    void bootstrap_core();
    void run_due_work();
    void campaign_if_due();
    Micros compute_next_timer() const;
    [[nodiscard]] ConsensusOutput take_output() { return std::exchange(output_, {}); }
    void dispatch(const std::string& from, const Message& message);
    void send(const std::string& to, Message message);
    bool is_self(const std::string& member) const { return member == options_.self; }
    // The state of the peer, or nullptr if no message has been exchanged with it.
    const Peer* find_peer(const std::string& member) const;
    // Whether agrees(voter) is true for a quorum of the newest entry's voters.
    template <class Agrees>
    bool quorum_agrees(const Agrees& agrees) const;

    // ---- election.cpp ----
    void restart_election_timer();
    void start_candidacy(Role role);
    void count_votes();
    bool adopt_term(Term term);
    void step_down(Term term);
    void become_leader();
    bool has_leader_contact() const { return now_ < last_leader_contact_ + options_.election_timeout; }
    bool is_bound_by_lease_against(const std::string& candidate) const;
    Term next_term() const;
    void on_vote_request(const std::string& from, const VoteRequest& request);
    VoteResponse decide_pre_vote(const VoteRequest& request, bool is_bound_by_lease);
    VoteResponse decide_vote(const std::string& from, const VoteRequest& request);
    void on_vote_response(const std::string& from, const VoteResponse& response);
    void on_timeout_now(const std::string& from, const TimeoutNow& request);

    // ---- replication.cpp: the leader ----
    void append(LogEntry entry);
    void add_head_to_history();
    void send_heartbeats();
    void send_heartbeat(const std::string& to);
    void start_transfer(Peer& peer);
    void continue_transfer(const std::string& to, Peer& peer, const AppendResponse& response);
    void send_chunk(const std::string& to, Peer& peer);
    LogPosition transfer_base(const Peer& peer) const;
    std::size_t count_large_transfers() const;
    void on_append_response(const std::string& from, const AppendResponse& response);
    void advance_commit();
    bool has_head(const std::string& voter) const;
    bool has_quorum_contact() const;
    Micros lease_granted_at() const;
    Micros lease_granted_by(const std::vector<std::string>& group) const;

    // ---- follower.cpp ----
    bool accept_leader(const std::string& from, Term term);
    void respond_to_leader(const std::string& from, Round round);
    void on_append_request(const std::string& from, const AppendRequest& request);
    void on_entry_chunk(const std::string& from, const EntryChunk& chunk);
    void install_payload(const EntryChunk& last_chunk, const std::string& bytes);
    void install(LogEntry entry);

    // ---- proposals.cpp ----
    void append_next_change();
    bool append_proposals();
    void report(const std::vector<ProposalResult>& results);

    // ---- membership.cpp ----
    void append_membership_change();
    bool is_silent(const std::string& voter, Micros span) const;
    std::vector<VoterStatus> voter_statuses() const;
    std::vector<std::string> ready_learners() const;
    void drop_silent_learners();
    bool is_safe_without(const std::string& member) const;
    void continue_leaving();
    void transfer_leadership();
    void on_join_request(const std::string& from);
    void on_leave_request(const std::string& from);
    void on_leave_response(const LeaveResponse& response);

    // ---- recovery.cpp ----
    void send_recovery_requests();
    void on_recovery_request(const std::string& from, const RecoveryRequest& request);
    void on_recovery_response(const std::string& from, const RecoveryResponse& response);
    void become_learner(const RecoveryResponse& newest);
    bool accepts_state() const;
    void become_member_if_voter();

    Options options_;
    // The term and the head's position never decrease while voting_state.is_member is true. The caller
    // persists changes before it sends the messages of the same output.
    PersistentState state_;
    // The newest entry known to be committed (Raft's commitIndex); never newer than state_.entry while this
    // is a member. Not persisted: after a start the member learns it from the leader.
    LogEntry committed_entry_;
    Role role_ = Role::non_member;  // non_member if and only if !state_.voting_state.is_member
    std::string leader_;            // of the current term; empty: unknown

    ConsensusOutput output_;  // of the call in progress; empty between calls
    Micros now_ = 0;          // the time of the call in progress
    Micros started_at_ = 0;
    Micros next_timer_ = 0;

    // ---- elections (Raft, section 5.2) ----
    ElectionTimer election_timer_;
    Micros last_leader_contact_ = 0;  // when a leader's message was last accepted; initially the start time
    std::set<std::string> votes_;     // received in this candidacy, including this member's own
    // The leader requested this election (thesis, section 3.10), so its lease does not prevent votes.
    bool is_leadership_transfer_ = false;
    // The first term in which the other members may vote, learned from their rejections.
    Term min_next_term_ = 0;

    // ---- leader state; meaningless in other roles ----
    // By address, all machines that have sent a message. Peer::last_contact is maintained in all roles.
    std::map<std::string, Peer> peers_;
    LeaderLease lease_;
    Micros next_heartbeat_ = 0;
    EntryHistory history_;  // also maintained by followers, which may become leader
    ProposalQueue proposals_;
    std::set<std::string> learners_;  // disjoint from the voters of the newest entry
    // Members whose last response announced that they are leaving.
    std::set<std::string> leaving_members_;
    // Leadership was transferred; no further change begins in this term.
    bool leadership_transferred_ = false;

    // ---- follower state ----
    EntryReceiver receiver_;

    RecoveryState recovery_;
    PlannedLeave leave_;
};

template <class Agrees>
bool Consensus::quorum_agrees(const Agrees& agrees) const {
    const LogEntry& head = state_.entry;
    return has_majority(head.members, agrees) &&
           (!options_.rules->needs_outgoing_majority(head) || has_majority(head.outgoing_members, agrees));
}

}  // namespace gannethold::cluster
