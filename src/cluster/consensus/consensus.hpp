// Consensus of the core on one small register: the newest configuration and who belongs to the core.
//
// A leader is elected by a majority for a term; every change is a new LogEntry with the leader's term and the
// next index, and is committed once a majority has it on disk (Raft's rules, with a log of which only the
// last entry is kept: each entry holds the whole state, so an older one is never needed). Source of the rules
// on votes, terms and one change of members at a time: Ongaro and Ousterhout, "In Search of an Understandable
// Consensus Algorithm"; of the recovery of a machine that lost its disk: Liskov and Cowling, "Viewstamped
// Replication Revisited", section 4.3.
//
// No I/O and no clock: each call takes the time and fills an Output. The caller first writes state() to disk
// and syncs it where Output::write is set, and only then sends; if the write fails nothing of the Output may
// be used and the machine is made anew from what is on disk.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster/wire/messages.hpp"
#include "types.hpp"

namespace gannethold::cluster {

// What must survive: on disk before anything that follows from it is said.
struct PersistentState {
    bool member = false;  // false: this disk is new, its owner may have promised anything before
    Number term = 0;
    std::string voted_for;
    Number no_vote_through_term = 0;  // votes in no term up to this one: its lost disk may have
    LogEntry entry;
    // Whose order was answered last, or itself: the only one to whom a lease may still be owed after a start.
    std::string last_leader;
};

struct Output {
    struct Envelope {
        std::string to;  // a core machine's control_plane address
        Message message;
    };
    struct ProposalResult {
        Number ticket = 0;
        bool committed = false;  // false: not known; the same may be handed in again
    };
    bool write = false;  // state() changed
    std::vector<Envelope> sends;
    std::vector<ProposalResult> results;
};

class Consensus {
  public:
    struct Options {
        std::string self;                // control_plane address
        std::vector<std::string> seeds;  // the founders, where this is the first start
        bool first_start = false;
        Micros heartbeat = 90'000;
        Micros election_timeout =
            450'000;             // least silence of a leader before a vote against it; a lease lasts less
        Micros lease = 330'000;  // shorter than election_timeout by more than clocks drift in that time
        Micros dead_after = 6'000'000;
        std::uint64_t chance = 1;
    };

    // now: any steady clock. A machine that starts waits for a whole election_timeout before it votes against
    // the leader whose order it answered last: it does not know how long ago that was. That leader itself, if
    // it asks for the vote, has a new life and no lease, so it gets it at once; and it asks at once, many
    // times, as it starts.
    Consensus(Options terms, PersistentState state, Micros now, Output& out);

    void receive(Micros now, const std::string& from, const Message& message, Output& out);
    void tick(Micros now, Output& out);
    // A checked configuration, at the leader. The verdict comes with this or a later Output.
    void propose(Micros now, Number ticket, Number version, std::string body, Output& out);
    // Before a planned end: the follower who knows most is asked to follow.
    void resign(Micros now, Output& out);
    void restated(std::vector<std::string> seeds) { options_.seeds = std::move(seeds); }

    const PersistentState& state() const { return state_; }
    // Elected for the term, its first entry committed. It may act only while it leads, too.
    bool holds() const {
        return role_ == Role::leader && committed_.position.term == state_.term && !resigned_;
    }
    // Holds, and the lease of a majority has not run out. A lease that ran out for a while and came back in
    // the same term was nobody else's meanwhile: who has voted for another answers this term no more.
    bool leads(Micros now) const;
    // The newest entry that is known to be committed; nullptr: none yet.
    const LogEntry* committed() const { return committed_.position > LogPosition{} ? &committed_ : nullptr; }
    const std::string& leader() const { return leader_; }  // empty: not known
    Number term() const { return state_.term; }
    const std::vector<std::string>& members() const { return state_.entry.members; }
    Micros next_tick() const { return next_tick_; }
    bool recovering() const { return !state_.member; }
    Micros heard_from(const std::string& member) const;  // 0: never

  private:
    enum class Role { non_member, follower, pre_candidate, candidate, leader };
    struct Peer {
        Micros heard = 0;  // anything
        LogPosition held;
        Number round = 0;    // the newest it has answered
        Micros carried = 0;  // when the head was last sent to it
        Number carried_index = 0;
        bool whole = false;  // it has nothing to which a difference could be
    };
    struct Waiting {
        Number ticket = 0, version = 0;
        std::string body;
        Number index = 0;  // of the entry that answers it; 0: not yet proposed
    };

    void handle(const std::string& from, const VoteRequest& m, Output& out);
    void handle(const std::string& from, const VoteResponse& m, Output& out);
    void handle(const std::string& from, const AppendRequest& m, Output& out);
    void handle(const std::string& from, const AppendResponse& m, Output& out);
    void handle(const std::string& from, const RecoveryRequest& m, Output& out);
    void handle(const std::string& from, const RecoveryResponse& m, Output& out);
    void handle(const std::string& from, const JoinRequest& m, Output& out);
    void handle(const std::string& from, const TimeoutNow& m, Output& out);

    void become_follower(Number term, Output& out);
    void campaign(bool pre_vote, Output& out, bool handed = false);
    void count_votes(Output& out);
    void lead(Output& out);
    void begin(LogEntry entry, Output& out);  // the leader's next
    void next_change(Output& out);
    void settle(Output& out);
    void round(Output& out);
    void order(const std::string& to, Output& out);
    void send_recovery_requests(Output& out);
    void set_election();
    bool is_member(const std::string& who) const;
    // Whether a lease may be owed to another than that one.
    bool owes(const std::string& candidate) const {
        return now_ < heard_leader_ + options_.election_timeout && state_.last_leader != candidate;
    }
    // Its lost disk may have voted in that term: it gives no vote there, nor counts its own.
    bool no_vote_through_term(Number term) const { return term <= state_.no_vote_through_term; }
    std::size_t majority() const { return members().size() / 2 + 1; }
    Micros lease_start() const;
    Micros lease_start(const std::vector<std::string>& group) const;
    void fail_waiting(Output& out);

    Options options_;
    PersistentState state_;
    LogEntry committed_;
    Role role_ = Role::non_member;
    std::string leader_;
    Micros now_ = 0, started_ = 0, recovered_ = 0, heard_leader_ = 0, election_at_ = 0, next_tick_ = 0,
           next_round_ = 0, next_inquiry_ = 0;
    std::set<std::string> votes_;
    std::map<std::string, Peer> peers_;
    std::map<Number, Micros> rounds_;  // when sent
    Number round_ = 0;
    std::map<LogPosition, std::string> bodies_;  // lately held ones, for differences
    std::map<LogPosition, std::string> deltas_;  // from each of them to the head, as far as they were needed
    std::vector<Waiting> waiting_;
    std::set<std::string> applicants_;
    Number nonce_ = 0;
    std::map<std::string, RecoveryResponse> told_;
    bool joining_ = false, resigned_ = false;
    std::uint64_t chance_;
};

}  // namespace gannethold::cluster
