// What a machine knows while it finds out whether it is a member: after its disk was lost, when it joins, or
// after it was removed (Liskov and Cowling, "Viewstamped Replication Revisited", section 4.3).
//
// If it is still a voter, it is a member again once it has the newest state that a quorum reported, and it
// does not vote in terms in which it may have voted before the loss. Otherwise it asks the leader to become a
// learner.
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
    // fresh: the nonce of a new inquiry; one under way keeps its own.
    RecoveryRequest make_request(Micros now, Nonce fresh);
    // All voters that responses have named.
    std::set<std::string> reported_voters() const;

    // False: it belongs to no inquiry under way.
    bool add_response(const std::string& from, const RecoveryResponse& response);
    // The response with the newest entry. REQUIRES: add_response() was true, and no forget_responses() since.
    const RecoveryResponse& newest_response() const;
    // Whether as many others as a quorum of the newest entry's voters have answered. One of them at least
    // has stored every committed entry, even if this member had the other replica of it, and has pre-voted in
    // each term in which this member may have voted.
    bool has_quorum_without(const std::string& self) const;
    void forget_responses() { responses_.clear(); }

    // It is no member: any state that a leader sends is accepted.
    void await_invitation();
    // It is a member: it awaits the newest entry that was reported. current_term: its own, at least as new as
    // all that were reported.
    void await_state(Term current_term);
    // The newest term that was reported; 0: none.
    Term newest_term() const;
    // Whether the leader may bring this member the state: it knows whether it was one before. If it
    // was, a candidate may still count a vote that it gave before its disk was lost, until all candidacies of
    // that time have ended.
    bool accepts_state(bool old_candidacies_over) const {
        return awaits_invitation_ || (awaited_state_ && old_candidacies_over);
    }
    bool is_satisfied_by(const LogPosition& position) const {
        return !awaited_state_ || position >= *awaited_state_;
    }
    // It does not vote in terms up to this one: it may have done so before its disk was lost.
    Term no_vote_through() const { return no_vote_through_; }
    // It is a member again: the inquiry is over.
    void finish();

  private:
    Micros next_request_at_;
    Nonce nonce_ = 0;  // 0: no inquiry under way
    std::map<std::string, RecoveryResponse> responses_;
    bool awaits_invitation_ = false;
    std::optional<LogPosition> awaited_state_;
    Term no_vote_through_ = 0;
};

}  // namespace gannethold::cluster
