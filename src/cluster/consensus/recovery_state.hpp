// State of a machine that determines whether it is a member: after it lost its disk, when it joins, or after
// it was removed (Liskov and Cowling, "Viewstamped Replication Revisited", section 4.3).
//
// If the machine is still a voter, it becomes a member again once it has the newest state that a quorum
// reported, and it does not vote in terms in which it may have voted before the loss. Otherwise it asks the
// leader to become a learner.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "cluster/wire/messages.hpp"
#include "types.hpp"

namespace gannethold::cluster {

class RecoveryState {
  public:
    explicit RecoveryState(Micros now) : next_request_at_(now) {}

    bool is_request_due(Micros now) const { return now >= next_request_at_; }
    Micros next_request_at() const { return next_request_at_; }
    // Starts a recovery attempt with the nonce, or repeats the request of the attempt in progress.
    RecoveryRequest make_request(Micros now, Nonce new_nonce);
    // All voters that are listed in responses.
    std::set<std::string> reported_voters() const;

    // Returns false if the response does not belong to the attempt in progress.
    bool add_response(const std::string& from, const RecoveryResponse& response);
    // The response with the newest entry. REQUIRES: add_response() has returned true since the last
    // clear_responses().
    const RecoveryResponse& newest_response() const;
    // Whether a quorum of the newest entry's voters has responded, not counting this member. At least one of
    // them has stored every committed entry, even if this member held another replica of it, and has granted
    // a pre-vote in each term in which this member may have voted.
    bool has_quorum_without(const std::string& self) const;
    void clear_responses() { responses_.clear(); }

    // For a machine that is not a voter: accepts any state that a leader sends.
    void accept_any_state();
    // For a voter that lost its disk: waits for an entry at least as new as the newest reported one.
    // `current_term` is this machine's term, which is not older than any reported one.
    void await_state(Term current_term);
    // The newest reported term; 0: none.
    Term newest_term() const;
    // Whether the machine accepts the leader's state, which requires that it knows whether it was a voter
    // before. If it was, a candidate may still count a vote that it gave before its disk was lost, until all
    // candidacies of that time have ended.
    bool accepts_state(bool old_candidacies_over) const {
        return accepts_any_state_ || (awaited_state_ && old_candidacies_over);
    }
    bool is_satisfied_by(const LogPosition& position) const {
        return !awaited_state_ || position >= *awaited_state_;
    }
    // The machine must not vote in terms up to this one: it may have voted in them before it lost its disk.
    Term no_vote_through() const { return no_vote_through_; }
    // Ends the recovery attempt once the machine is a member again.
    void finish();

  private:
    Micros next_request_at_;
    Nonce nonce_ = 0;  // 0: no attempt in progress
    std::map<std::string, RecoveryResponse> responses_;
    bool accepts_any_state_ = false;
    std::optional<LogPosition> awaited_state_;
    Term no_vote_through_ = 0;
};

}  // namespace gannethold::cluster
