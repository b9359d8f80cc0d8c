// Consensus of the core on one small register: the configuration in force, which versions were committed, and
// who votes.
//
// A leader is elected by a quorum for a term. Every change is a new LogEntry with the leader's term and the
// next index, and is committed once a quorum has it on disk. These are Raft's rules with a log of which only
// the last entry is kept: each entry holds the complete state, so earlier entries are never needed.
//
// Sources. "Raft" in comments: Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm"
// (extended version). "Thesis": Ongaro, "Consensus: Bridging Theory and Practice", which adds pre-votes
// (9.6), leadership transfer (3.10) and leases (6.4.1). Recovery of a member that lost its disk: Liskov and
// Cowling, "Viewstamped Replication Revisited", section 4.3.
//
// Files: consensus.cpp (calls from outside), election.cpp, replication.cpp (the leader), follower.cpp,
// proposals.cpp, membership.cpp, recovery.cpp. The parts have headers of their own. docs/control-plane.md
// states the invariants and why they are kept.
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

// What a call of Consensus asks of its caller, who does it in this order:
//   1. If must_persist, write persistent_state() to disk and sync it. If that fails, discard the rest and the
//      Consensus: the member is constructed again from what is on disk.
//   2. Send the messages and pass on the results. Lost messages need no handling: they are sent again.
struct ConsensusOutput {
    struct Envelope {
        std::string to;  // a core machine's control_plane address
        Message message;
    };
    bool must_persist = false;
    std::vector<Envelope> messages;
    std::vector<ProposalResult> proposal_results;
};

// One member of the core, as a state machine without I/O.
//
// Thread safety: none; all calls come from one thread. Clock: `now` is any steady clock in microseconds, the
// same one in all calls; it never steps back.
class Consensus {
  public:
    struct Options {
        std::string self;                // the own control_plane address, by which others know this member
        std::vector<std::string> seeds;  // addresses to ask; at the first start: the founders
        bool first_start = false;        // the core is founded with this start
        Micros heartbeat_interval = 90'000;
        // Minimum silence of a leader before any member votes against it.
        Micros election_timeout = 450'000;
        // Shorter than the election timeout by more than the clocks may drift apart meanwhile.
        Micros lease_duration = 330'000;
        Micros replace_after = 1'000'000;  // silence of a voter until a learner takes its place
        Micros remove_after = 2'000'000;   // silence of voters until they are removed without successors
        std::uint64_t random_seed = 1;     // another one on each member
        const ConsensusRules* rules = &ConsensusRules::standard();  // not owned; outlives the member
    };

    // state: as the disk has it; default values if it has none.
    //
    // A member that starts lets one election timeout pass before it votes against the leader whose heartbeat
    // it answered last, since it doesn't know how long ago that was. It votes for that leader at once: a
    // leader that asks for votes has restarted and has no lease.
    Consensus(Options options, PersistentState state, Micros now);

    // REQUIRES: called once, before all other calls below.
    [[nodiscard]] ConsensusOutput start();
    // Messages that are not for the core are ignored.
    [[nodiscard]] ConsensusOutput on_message(Micros now, const std::string& from, const Message& message);
    // To be called at next_timer(); more often does no harm.
    [[nodiscard]] ConsensusOutput on_timer(Micros now);
    Micros next_timer() const { return next_timer_; }

    // Proposes a configuration, at the leader. Its result comes with this output or a later one. Under one
    // version one body is committed, ever; the same body proposed again is committed again. A version below
    // the newest is recorded and changes nothing else.
    [[nodiscard]] ConsensusOutput propose(Micros now, Proposal proposal);

    // Before a planned stop: a leader transfers leadership, any other member asks the leader whether it may
    // stop.
    [[nodiscard]] ConsensusOutput begin_leaving(Micros now);
    // After begin_leaving(): whether a quorum without this member has stored all committed entries.
    bool may_stop() const { return leave_.may_stop(); }

    void set_seeds(std::vector<std::string> seeds) { options_.seeds = std::move(seeds); }

    // Good until the next call that is not const.
    const PersistentState& persistent_state() const { return state_; }
    // Whether it is the leader of its term, has committed an entry in it (Raft, section 8) and has not
    // transferred leadership. It may act for the core only while it also has_lease().
    bool is_established_leader() const;
    // Whether it is the established leader, and no other can have been elected. A lease that ran out and
    // was regained in the same term was never another member's in between: a voter that has voted for another
    // member no longer responds in this term.
    bool has_lease(Micros now) const;
    // The newest entry known to be committed; nullptr: none yet. Good until the next call that is not const.
    const LogEntry* committed_entry() const;
    // Of the current term, as far as known; else empty.
    const std::string& leader() const { return leader_; }
    Term current_term() const { return state_.promise.term; }
    // Of the newest entry, committed or not.
    const std::vector<std::string>& voters() const { return state_.entry.members; }
    // Known at the leader only.
    const std::set<std::string>& learners() const { return learners_; }
    // Whether it is no member: its disk was lost, or it was removed.
    bool is_recovering() const { return !state_.promise.member; }
    // When the last message from that machine came; 0: never.
    Micros last_contact(const std::string& member) const;

  private:
    // non_member: promises nothing and answers no vote request. pre_candidate: thesis, section 9.6.
    enum class Role { non_member, follower, pre_candidate, candidate, leader };

    // ---- consensus.cpp ----
    void found_core();
    void run_due_work();
    void campaign_if_due();
    Micros compute_next_timer() const;
    [[nodiscard]] ConsensusOutput take_output() { return std::exchange(output_, {}); }
    void dispatch(const std::string& from, const Message& message);
    void send(const std::string& to, Message message);
    bool is_self(const std::string& member) const { return member == options_.self; }
    // The peer if anything came from it or was sent to it; else nullptr.
    const Peer* find_peer(const std::string& member) const;
    // Whether a quorum of the newest entry's voters agrees.
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
    bool may_owe_lease_to_other_than(const std::string& candidate) const;
    Term next_term() const;
    void handle_request_vote(const std::string& from, const VoteRequest& request);
    VoteResponse decide_pre_vote(const VoteRequest& request, bool owes_lease);
    VoteResponse decide_vote(const std::string& from, const VoteRequest& request);
    void handle_vote_response(const std::string& from, const VoteResponse& response);
    void handle_timeout_now(const std::string& from, const TimeoutNow& request);

    // ---- replication.cpp: the leader ----
    void append(LogEntry entry);
    void remember_head();
    void send_heartbeats();
    void send_heartbeat(const std::string& to);
    void start_transfer(Peer& peer);
    void continue_transfer(const std::string& to, Peer& peer, const AppendResponse& response);
    void send_chunk(const std::string& to, Peer& peer);
    LogPosition transfer_base(const Peer& peer) const;
    std::size_t count_large_transfers() const;
    void handle_append_response(const std::string& from, const AppendResponse& response);
    void advance_commit();
    bool has_head(const std::string& voter) const;
    bool has_quorum_contact() const;
    Micros lease_granted_at() const;
    Micros lease_granted_by(const std::vector<std::string>& group) const;

    // ---- follower.cpp ----
    bool accept_leader(const std::string& from, Term term);
    void respond_to_leader(const std::string& from, Round round);
    void handle_append_request(const std::string& from, const AppendRequest& request);
    void handle_entry_chunk(const std::string& from, const EntryChunk& chunk);
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
    void handle_join_request(const std::string& from);
    void handle_leave_request(const std::string& from);
    void handle_leave_response(const LeaveResponse& response);

    // ---- recovery.cpp ----
    void send_recovery_requests();
    void handle_recovery_request(const std::string& from, const RecoveryRequest& request);
    void handle_recovery_response(const std::string& from, const RecoveryResponse& response);
    void become_learner(const RecoveryResponse& newest);
    bool accepts_state() const;
    void become_member_if_voter();

    Options options_;
    // Terms and the head's position never go back while promise.member. Changes are persisted before the
    // messages of the same output are sent.
    PersistentState state_;
    // The newest entry known to be committed (Raft's commitIndex); at most as new as state_.entry while this
    // is a member. Not persisted: a member that starts learns it from its leader.
    LogEntry committed_entry_;
    Role role_ = Role::non_member;  // non_member exactly while !state_.promise.member
    std::string leader_;            // of the current term; empty: not known

    ConsensusOutput output_;  // of the call that is being carried out; empty between calls
    Micros now_ = 0;          // the time of that call
    Micros started_at_ = 0;
    Micros next_timer_ = 0;

    // ---- elections (Raft, section 5.2) ----
    ElectionTimer election_timer_;
    Micros last_leader_contact_ = 0;  // when a leader's message was accepted last, or this member started
    std::set<std::string> votes_;     // of this candidacy, the own one included
    // The leader asked for this election (thesis, section 3.10): its lease does not prevent votes.
    bool is_leadership_transfer_ = false;
    // The first term in which others may vote, as learned from their refusals.
    Term min_next_term_ = 0;

    // ---- the leader's; meaningless in other roles ----
    std::map<std::string, Peer>
        peers_;  // by address: all that sent a message; last_contact is kept in all roles
    LeaderLease lease_;
    Micros next_heartbeat_ = 0;
    EntryHistory history_;  // a follower's, too: it may lead next
    ProposalQueue proposals_;
    std::set<std::string> learners_;  // never voters of the newest entry
    // Members whose last response announced that they leave.
    std::set<std::string> leaving_members_;
    // It transferred leadership: it starts nothing more in this term.
    bool leadership_transferred_ = false;

    // ---- a follower's ----
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
