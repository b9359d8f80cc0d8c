// Elections: who asks for votes, who gets them, and what a new leader begins with.
#include <algorithm>

#include "cluster/consensus/consensus.hpp"
#include "cluster/consensus/quorum.hpp"

namespace gannethold::cluster {
namespace {

// After a start, who led before asks so often for votes, for so long.
constexpr Micros kEagerSpan = 1'200'000;
constexpr Micros kEagerInterval = 40'000;

}  // namespace

void Consensus::set_election_timer() {
    random_ ^= random_ << 13;
    random_ ^= random_ >> 7;
    random_ ^= random_ << 17;
    const bool led_before = state_.voting_state.last_leader == options_.self && role_ != Role::leader;
    if (led_before && now_ < started_ + kEagerSpan) {
        // It led when it went down: whoever is up again may vote for it at once.
        election_at_ = now_ + kEagerInterval + static_cast<Micros>(random_ % kEagerInterval);
        return;
    }
    const auto spread = static_cast<std::uint64_t>(options_.election_timeout * 2 / 3);
    election_at_ = now_ + options_.election_timeout + static_cast<Micros>(random_ % spread);
}

// Whether a lease may be owed to another than the candidate.
bool Consensus::hears_other_leader(const std::string& candidate) const {
    if (role_ == Role::leader) return leads(now_);
    const bool recent = now_ < heard_leader_ + options_.election_timeout;
    return recent && state_.voting_state.last_leader != candidate;
}

// The next term in which this member may stand: not one in which it, or a member that was asked, gives no
// vote.
Number Consensus::next_term() const {
    return std::max({term() + 1, state_.voting_state.no_vote_through + 1, term_floor_});
}

void Consensus::campaign(bool pre_vote, Output& out) {
    set_election_timer();
    leader_.clear();
    if (!is_voter(state_.entry, options_.self)) return;
    if (leaving_) return;  // whoever ends soon is no leader
    const Number target = next_term();
    votes_.clear();
    votes_.insert(options_.self);
    if (pre_vote) {
        role_ = Role::pre_candidate;
    } else {
        role_ = Role::candidate;
        state_.voting_state.term = target;
        state_.voting_state.voted_for = options_.self;
        out.write = true;
    }
    for (const std::string& voter : all_voters(state_.entry)) {
        if (is_self(voter)) continue;
        out.sends.push_back({voter, VoteRequest{target, state_.entry.position, pre_vote, handed_over_}});
    }
    count_votes(out);
}

void Consensus::handle(const std::string& from, const VoteRequest& request, Output& out) {
    if (role_ == Role::non_member) return;  // a new disk may have promised anything before
    VotingState& voting_state = state_.voting_state;
    const bool owes_lease = hears_other_leader(from) && !request.leadership_transfer;
    const bool up_to_date = request.last_entry >= state_.entry.position;
    const bool may_vote = request.term > voting_state.no_vote_through;
    if (request.pre_vote) {
        const bool granted = request.term > voting_state.term && up_to_date && !owes_lease && may_vote;
        if (granted && request.term > voting_state.pre_voted_through) {
            // On disk: a member that loses its disk learns from a quorum in which terms it may have voted,
            // and no candidate had a vote in a term that a quorum had not pre-granted.
            voting_state.pre_voted_through = request.term;
            out.write = true;
        }
        // A candidate whose term is behind learns the first one in which it may get this vote.
        const Number newest = std::max(voting_state.no_vote_through, voting_state.term);
        out.sends.push_back({from, VoteResponse{request.term, granted, true, newest}});
        return;
    }
    // Against one that did not hear what all others hear. A leader that hands over has given up its lease
    // itself.
    if (owes_lease) return;
    if (request.term > voting_state.term) become_follower(request.term, out);
    const bool not_given = voting_state.voted_for.empty() || voting_state.voted_for == from;
    const bool current = request.term == voting_state.term && role_ == Role::follower;
    const bool granted = current && up_to_date && may_vote && not_given;
    if (granted) {
        out.write = out.write || voting_state.voted_for.empty();
        voting_state.voted_for = from;
        set_election_timer();
    }
    out.sends.push_back(
        {from, VoteResponse{voting_state.term, granted, false, voting_state.no_vote_through}});
}

void Consensus::handle(const std::string& from, const VoteResponse& response, Output& out) {
    if (response.pre_vote) {
        if (role_ != Role::pre_candidate || response.term != next_term()) return;
        if (!response.granted && response.no_vote_through >= response.term) {
            // That voter has a newer term or lost its disk: a term in which it may vote is asked for at once.
            term_floor_ = response.no_vote_through + 1;
            return campaign(true, out);
        }
    } else {
        if (response.term > term()) return become_follower(response.term, out);
        if (role_ != Role::candidate || response.term != term()) return;
    }
    if (response.granted) votes_.insert(from);
    count_votes(out);
}

void Consensus::count_votes(Output& out) {
    const auto voted = [&](const std::string& voter) { return votes_.contains(voter); };
    if (!quorum_agrees(voted)) return;
    if (role_ == Role::pre_candidate)
        campaign(false, out);
    else if (role_ == Role::candidate)
        become_leader(out);
}

void Consensus::handle(const std::string& from, const TimeoutNow& request, Output& out) {
    if (role_ != Role::follower || request.term != term() || from != leader_) return;
    heard_leader_ = 0;
    handed_over_ = true;
    campaign(true, out);
}

void Consensus::become_follower(Number term, Output& out) {
    if (term > state_.voting_state.term) {
        state_.voting_state.term = term;
        state_.voting_state.voted_for.clear();
        out.write = true;
    }
    if (role_ == Role::leader) {
        fail_proposals(out);
        leader_.clear();
        resigned_ = false;
    }
    role_ = Role::follower;
    handed_over_ = false;
    votes_.clear();
    set_election_timer();
}

void Consensus::become_leader(Output& out) {
    role_ = Role::leader;
    leader_ = options_.self;
    handed_over_ = false;
    resigned_ = false;
    round_sent_at_.clear();
    learners_.clear();
    leaving_members_.clear();
    for (auto& [member, peer] : peers_) {
        peer.round = 0;
        peer.held = {};
        peer.sender.stop();
    }
    // From here on each has the whole time to answer.
    for (const std::string& voter : all_voters(state_.entry)) peers_[voter].answered = now_;
    state_.voting_state.last_leader = options_.self;  // written with the first entry
    // What an earlier term left half done is committed, or not, with the first entry of this one.
    append(state_.entry, out);
}

}  // namespace gannethold::cluster
