// Consensus of the core on one small register: the newest configuration, which numbers were confirmed, and
// who votes.
//
// A leader is elected by a quorum for a term; every change is a new LogEntry with the leader's term and the
// next index, and is committed once a quorum has it on disk (Raft's rules, with a log of which only the last
// entry is kept: each entry holds the whole state, so an older one is never needed). Sources: elections,
// terms, joint consensus and pre-votes, Ongaro and Ousterhout, "In Search of an Understandable Consensus
// Algorithm", and Ongaro's thesis, sections 4 and 9.6; the recovery of a member that lost its disk, Liskov
// and Cowling, "Viewstamped Replication Revisited", section 4.3.
//
// No I/O and no clock: each call takes the time of a steady clock and fills an Output. The caller first
// writes persistent_state() to disk and syncs it where Output::write is set, and only then sends; if the
// write fails nothing of the Output may be used and the machine is made anew from what is on disk.
//
// Files: consensus.cpp (time, messages in), election.cpp, replication.cpp, proposals.cpp, membership.cpp,
// recovery.cpp. docs/control-plane.md says what holds and why.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster/consensus/entry_transfer.hpp"
#include "cluster/consensus/quorum.hpp"
#include "cluster/wire/messages.hpp"
#include "types.hpp"

namespace gannethold::cluster {

// What must survive: on disk before anything that follows from it is said.
struct PersistentState {
    VotingState voting_state;
    LogEntry entry;
};

// What became of a proposed configuration.
enum class ProposalOutcome {
    committed,  // this body is confirmed under its number, now or earlier
    conflict,   // another body is
    unknown,    // not known; the same may be proposed again
};

// What a call of Consensus asks of its caller.
struct Output {
    struct Envelope {
        std::string to;  // a core machine's control_plane address
        Message message;
    };
    struct ProposalResult {
        Number ticket = 0;
        ProposalOutcome outcome = ProposalOutcome::unknown;
    };
    bool write = false;  // persistent_state() changed
    std::vector<Envelope> sends;
    std::vector<ProposalResult> results;
};

// Faults that tests plant to show that their checks find them; nothing else sets one.
enum class PlantedFault {
    none,
    count_new_voters_only,      // while membership changes, the voters before have no say
    learner_votes_at_once,      // before it holds the state
    change_without_joint_step,  // of members
    resend_whole_entry,         // on a timer, whatever was confirmed
};

class Consensus {
  public:
    struct Options {
        std::string self;                // control_plane address
        std::vector<std::string> seeds;  // the founders, where this is the first start
        bool first_start = false;
        Micros heartbeat_interval = 90'000;
        Micros election_timeout =
            450'000;  // least silence of a leader before a vote against it; a lease lasts less
        Micros lease_duration = 330'000;   // shorter than that by more than clocks drift in that time
        Micros replace_after = 1'000'000;  // silence of a voter before a learner takes its place
        Micros remove_after = 2'000'000;   // silence of voters before the core goes on without them
        std::uint64_t random_seed = 1;
        PlantedFault planted_fault = PlantedFault::none;
    };

    // now: any steady clock. A member that starts waits for a whole election timeout before it votes against
    // the leader whose heartbeat it answered last: it does not know how long ago that was. That leader
    // itself, if it asks for the vote, has a new life and no lease, so it gets it at once; and it asks at
    // once, many times, as it starts.
    Consensus(Options options, PersistentState state, Micros now, Output& out);

    void receive(Micros now, const std::string& from, const Message& message, Output& out);
    void tick(Micros now, Output& out);

    // A checked configuration, at the leader. The result comes with this or a later Output. Under one number
    // one body is committed, ever; the same body proposed again is committed again. A number below the newest
    // is recorded and alters nothing else.
    void propose(Micros now, Number ticket, Number version, std::string body, Output& out);

    // Before a planned end: a leader hands over, a member asks the leader whether it may go.
    void leave(Micros now, Output& out);
    // A quorum without this member holds all that is committed; only after leave().
    bool may_end() const { return may_end_; }
    void set_seeds(std::vector<std::string> seeds) { options_.seeds = std::move(seeds); }

    const PersistentState& persistent_state() const { return state_; }
    // Elected for the term, its first entry committed. It may act only while it leads, too.
    bool holds() const { return role_ == Role::leader && committed_.position.term == term() && !resigned_; }
    // Holds, and the lease of a quorum has not run out. A lease that ran out for a while and came back in the
    // same term was nobody else's meanwhile: who has voted for another answers this term no more.
    bool leads(Micros now) const;
    // The newest entry that is known to be committed; nullptr: none yet.
    const LogEntry* committed() const { return committed_.position > LogPosition{} ? &committed_ : nullptr; }
    const std::string& leader() const { return leader_; }  // empty: not known
    Number term() const { return state_.voting_state.term; }
    const std::vector<std::string>& members() const { return state_.entry.members; }
    const std::set<std::string>& learners() const { return learners_; }  // at the leader
    Micros next_tick() const { return next_tick_; }
    bool recovering() const { return !state_.voting_state.is_member; }
    Micros heard_from(const std::string& member) const;  // 0: never

  private:
    enum class Role { non_member, follower, pre_candidate, candidate, leader };
    struct Peer {
        Micros heard = 0;     // any message
        Micros answered = 0;  // a heartbeat of this term
        Number round = 0;     // the newest it has answered
        LogPosition held;
        EntrySender sender;
        Micros resent = 0;  // for the planted fault
    };
    struct PendingProposal {
        Number ticket = 0, version = 0, digest = 0;
        std::string body;
        Number index = 0;  // of the entry that decides it; 0: not yet appended
    };

    // election.cpp
    void set_election_timer();
    void campaign(bool pre_vote, Output& out);
    void count_votes(Output& out);
    void become_follower(Number term, Output& out);
    void become_leader(Output& out);
    void handle(const std::string& from, const VoteRequest& request, Output& out);
    void handle(const std::string& from, const VoteResponse& response, Output& out);
    void handle(const std::string& from, const TimeoutNow& request, Output& out);
    bool hears_other_leader(const std::string& candidate) const;
    Number next_term() const;

    // replication.cpp
    void append(LogEntry entry, Output& out);
    void send_heartbeats(Output& out);
    void send_append(const std::string& to, Output& out);
    bool start_transfer(Peer& peer);
    bool continue_transfer(Peer& peer, const AppendResponse& response);
    void resend_whole_entry(const std::string& to, Output& out);
    LogPosition base_for(const Peer& peer) const;
    std::shared_ptr<const std::string> payload_against(const LogPosition& base);
    std::size_t large_transfers() const;
    void remember_body();
    void advance_commit(Output& out);
    bool accept_leader(const std::string& from, Number term, Output& out);
    void install(LogEntry entry, Output& out);
    void answer_leader(const std::string& from, Number round, Output& out);
    void handle(const std::string& from, const AppendRequest& request, Output& out);
    void handle(const std::string& from, const EntryChunk& chunk, Output& out);
    void handle(const std::string& from, const AppendResponse& response, Output& out);
    Micros lease_start() const;
    Micros lease_start(const std::vector<std::string>& group) const;
    bool hears_quorum() const;

    // proposals.cpp
    void append_next_change(Output& out);
    bool append_proposals(Output& out);
    void resolve_proposals(Output& out);
    void fail_proposals(Output& out);

    // membership.cpp
    bool append_membership_change(Output& out);
    bool silent(const std::string& voter, Micros span) const;
    std::vector<std::string> ready_learners() const;
    std::vector<std::string> wanted_members() const;
    void remove_gone(std::vector<std::string>& members, std::size_t count) const;
    void drop_silent_learners();
    void hand_over(Output& out);
    void continue_leaving(Output& out);
    bool safe_without(const std::string& member) const;
    void handle(const std::string& from, const JoinRequest& request, Output& out);
    void handle(const std::string& from, const LeaveRequest& request, Output& out);
    void handle(const std::string& from, const LeaveResponse& response, Output& out);

    // recovery.cpp
    void send_recovery_requests(Output& out);
    void handle(const std::string& from, const RecoveryRequest& request, Output& out);
    void handle(const std::string& from, const RecoveryResponse& response, Output& out);
    void become_learner(const RecoveryResponse& newest, Output& out);
    void await_state(const RecoveryResponse& newest);
    bool accepts_state() const;
    void become_member(Output& out);

    bool planted(PlantedFault fault) const { return options_.planted_fault == fault; }
    // Whether a quorum of the newest entry's voters agrees.
    template <class Agrees>
    bool quorum_agrees(const Agrees& agrees) const {
        const bool joint = !planted(PlantedFault::count_new_voters_only);
        return has_quorum(state_.entry.members,
                          joint ? state_.entry.outgoing_members : std::vector<std::string>{}, agrees);
    }
    bool is_self(const std::string& member) const { return member == options_.self; }

    Options options_;
    PersistentState state_;
    LogEntry committed_;
    Role role_ = Role::non_member;
    std::string leader_;
    Micros now_ = 0, started_ = 0, heard_leader_ = 0;
    Micros election_at_ = 0, next_tick_ = 0, next_heartbeat_ = 0;
    std::uint64_t random_;

    // Elections.
    std::set<std::string> votes_;
    bool handed_over_ = false;  // the leader asked for this election: no lease stands against it
    Number term_floor_ = 0;     // others vote in no term below this one

    // The leader's.
    std::map<std::string, Peer> peers_;
    std::map<Number, Micros> round_sent_at_;
    Number round_ = 0;
    std::map<LogPosition, std::string> bodies_;  // of the newest entries, as bases of differences
    std::map<LogPosition, std::shared_ptr<const std::string>> payloads_;  // of the head, by base
    std::vector<PendingProposal> pending_;
    std::set<std::string> learners_;
    std::set<std::string> leaving_members_;  // who said so and has not answered since as one that stays
    bool resigned_ = false;

    // A follower's.
    EntryReceiver receiver_;

    // Recovery and joining.
    Micros next_recovery_request_ = 0;
    Number nonce_ = 0;
    std::map<std::string, RecoveryResponse> recovery_responses_;
    bool joining_ = false;
    std::optional<LogPosition> awaited_state_;  // a member again once it holds this entry or a newer one
    Number awaited_no_vote_through_ = 0;

    // A planned end.
    bool leaving_ = false, may_end_ = false;
    Micros next_leave_request_ = 0;
};

}  // namespace gannethold::cluster
