#include "cluster/consensus/recovery_state.hpp"

#include <algorithm>

#include "cluster/consensus/quorum.hpp"

namespace gannethold::cluster {
namespace {

constexpr Micros kRequestInterval = 250'000;

}  // namespace

RecoveryRequest RecoveryState::make_request(Micros now, Nonce new_nonce) {
    next_request_at_ = now + kRequestInterval;
    if (nonce_ == 0) {
        nonce_ = new_nonce;
        responses_.clear();
    }
    return {nonce_};
}

std::set<std::string> RecoveryState::reported_voters() const {
    std::set<std::string> voters;
    for (const auto& [from, response] : responses_) {
        voters.insert(response.members.begin(), response.members.end());
        voters.insert(response.outgoing_members.begin(), response.outgoing_members.end());
    }
    return voters;
}

bool RecoveryState::add_response(const std::string& from, const RecoveryResponse& response) {
    if (nonce_ == 0 || response.nonce != nonce_) return false;
    responses_[from] = response;
    return true;
}

const RecoveryResponse& RecoveryState::newest_response() const {
    const auto older = [](const auto& a, const auto& b) { return a.second.last_entry < b.second.last_entry; };
    return std::max_element(responses_.begin(), responses_.end(), older)->second;
}

bool RecoveryState::has_quorum_without(const std::string& self) const {
    const RecoveryResponse& newest = newest_response();
    return !newest.members.empty() &&
           has_quorum(newest.members, newest.outgoing_members, [&](const std::string& member) {
               return member != self && responses_.contains(member);
           });
}

void RecoveryState::accept_any_state() {
    accepts_any_state_ = true;
    awaited_state_.reset();
}

void RecoveryState::await_state(Term current_term) {
    accepts_any_state_ = false;
    no_vote_through_ = std::max(no_vote_through_, current_term);
    for (const auto& [from, response] : responses_)
        no_vote_through_ = std::max(no_vote_through_, response.pre_voted_through);
    awaited_state_ = newest_response().last_entry;
}

Term RecoveryState::newest_term() const {
    Term newest = 0;
    for (const auto& [from, response] : responses_) newest = std::max(newest, response.term);
    return newest;
}

void RecoveryState::finish() {
    accepts_any_state_ = false;
    awaited_state_.reset();
    no_vote_through_ = 0;
    responses_.clear();
    nonce_ = 0;
}

}  // namespace gannethold::cluster
