#include "cluster/consensus/consensus.hpp"

#include <algorithm>
#include <utility>

#include "cluster/configuration/delta.hpp"

namespace gannethold::cluster {
namespace {

constexpr std::size_t kBodies = 6;  // kept for differences
constexpr Micros kAgain = 400'000;  // before a head that was not confirmed is carried again
constexpr Micros kInquiry = 250'000;
constexpr Micros kRecovered = 1'500'000;  // after a lost disk was made good, others are left to elect
constexpr Micros kEager = 1'200'000,
                 kEagerEach = 40'000;  // after a start, who led before asks so often for votes

}  // namespace

Consensus::Consensus(Options terms, PersistentState state, Micros now, Output& out)
    : options_(std::move(terms)),
      state_(std::move(state)),
      now_(now),
      started_(now),
      heard_leader_(now),
      chance_(options_.chance * 2 + 1) {
    if (!state_.member && options_.first_start &&
        std::find(options_.seeds.begin(), options_.seeds.end(), options_.self) != options_.seeds.end()) {
        // All founders were told the same seeds, so all found the same core; whoever is no founder asks to be
        // let in.
        state_.member = true;
        state_.entry.position = {0, 1};
        state_.entry.members = options_.seeds;
        out.write = true;
    }
    if (state_.member) role_ = Role::follower, bodies_[state_.entry.position] = state_.entry.body;
    next_inquiry_ = now;
    set_election();
    tick(now, out);
}

bool Consensus::is_member(const std::string& who) const {
    return std::find(members().begin(), members().end(), who) != members().end();
}

Micros Consensus::heard_from(const std::string& member) const {
    const auto at = peers_.find(member);
    return at == peers_.end() ? 0 : at->second.heard;
}

void Consensus::set_election() {
    chance_ ^= chance_ << 13, chance_ ^= chance_ >> 7, chance_ ^= chance_ << 17;
    if (state_.last_leader == options_.self && role_ != Role::leader && now_ < started_ + kEager) {
        // It led when it went down: whoever is up again may vote for it at once.
        election_at_ = now_ + kEagerEach + static_cast<Micros>(chance_ % kEagerEach);
        return;
    }
    election_at_ =
        now_ + options_.election_timeout +
        static_cast<Micros>(chance_ % static_cast<std::uint64_t>(options_.election_timeout * 2 / 3));
}

// Of the newest round that a majority has answered, when it was sent: until then nobody could have voted
// against us. While a change of members is not committed a majority of either set will do: any two of them
// share a member.
Micros Consensus::lease_start() const {
    return std::max(lease_start(members()), lease_start(committed_.members));
}

Micros Consensus::lease_start(const std::vector<std::string>& group) const {
    std::vector<Number> answered;
    for (const std::string& m : group) {
        const auto at = peers_.find(m);
        answered.push_back(m == options_.self ? round_ : at == peers_.end() ? 0 : at->second.round);
    }
    if (answered.empty()) return 0;
    std::sort(answered.rbegin(), answered.rend());
    const auto at = rounds_.find(answered[group.size() / 2]);
    return at == rounds_.end() ? 0 : at->second;
}

bool Consensus::leads(Micros now) const {
    if (!holds()) return false;
    const Micros start = lease_start();
    return start > 0 && now < start + options_.lease;
}

void Consensus::receive(Micros now, const std::string& from, const Message& message, Output& out) {
    now_ = now;
    if (from == options_.self) return;
    peers_[from].heard = now;
    std::visit(
        [&](const auto& m) {
            if constexpr (requires { handle(from, m, out); }) handle(from, m, out);
        },
        message);
    tick(now, out);
}

void Consensus::tick(Micros now, Output& out) {
    now_ = now;
    if (role_ == Role::leader) {
        // A leader that no majority answers is none: who asks it should look for another.
        std::size_t heard = 1;
        for (const std::string& m : members())
            heard += m != options_.self && now <= heard_from(m) + 2 * options_.election_timeout;
        if (heard < majority()) {
            become_follower(state_.term, out);
        } else {
            next_change(out);
            if (now >= next_round_) round(out);
        }
    }
    if (role_ != Role::leader && role_ != Role::non_member && now >= election_at_) {
        // One that was left out is told so by nobody's votes: it asks how things stand.
        if (now > heard_leader_ + 4 * options_.election_timeout) send_recovery_requests(out);
        campaign(true, out);
    }
    if (role_ == Role::non_member) send_recovery_requests(out);
    next_tick_ = role_ == Role::leader       ? next_round_
                 : role_ == Role::non_member ? next_inquiry_
                                             : election_at_;
}

void Consensus::become_follower(Number term, Output& out) {
    if (term > state_.term) {
        state_.term = term;
        state_.voted_for.clear();
        out.write = true;
    }
    if (role_ == Role::leader) fail_waiting(out), leader_.clear();
    role_ = Role::follower;
    votes_.clear();
    set_election();
}

void Consensus::fail_waiting(Output& out) {
    for (const Waiting& w : std::exchange(waiting_, {})) out.results.push_back({w.ticket, false});
}

// ---- election
// ------------------------------------------------------------------------------------------------

void Consensus::campaign(bool pre_vote, Output& out, bool handed) {
    set_election();
    leader_.clear();
    if (!is_member(options_.self)) return;
    // Those whose disks are whole elect among themselves first: each vote that can not be given is a term in
    // vain.
    if (no_vote_through_term(state_.term + 1) && now_ < recovered_ + kRecovered) return;
    role_ = pre_vote ? Role::pre_candidate : Role::candidate;
    votes_.clear();
    if (!no_vote_through_term(state_.term + 1)) votes_.insert(options_.self);
    if (!pre_vote) {
        ++state_.term;
        state_.voted_for = options_.self;
        out.write = true;
    }
    // A pre_vote promises nothing: against a machine that was cut off and comes back with a high term.
    for (const std::string& m : members())
        if (m != options_.self)
            out.sends.push_back(
                {m, VoteRequest{state_.term + pre_vote, state_.entry.position, pre_vote, handed}});
    count_votes(out);
}

void Consensus::handle(const std::string& from, const VoteRequest& m, Output& out) {
    if (role_ == Role::non_member) return;  // a new disk may have promised anything before
    const bool hears = role_ == Role::leader ? leads(now_) : owes(from);
    const bool newer = m.held >= state_.entry.position;
    if (m.pre_vote) {
        // Later on a term in vain is what it takes to come to one in which this machine may vote.
        const bool would = !no_vote_through_term(m.term) || now_ >= recovered_ + kRecovered;
        out.sends.push_back(
            {from, VoteResponse{m.term, m.term > state_.term && newer && !hears && would, true}});
        return;
    }
    // Against one that did not hear what all others hear. A leader that hands over has given up its lease
    // itself.
    if (hears && !m.handed) return;
    if (m.term > state_.term) become_follower(m.term, out);
    const bool grant = m.term == state_.term && newer && role_ == Role::follower &&
                       !no_vote_through_term(m.term) &&
                       (state_.voted_for.empty() || state_.voted_for == from);
    if (grant) {
        if (state_.voted_for.empty()) state_.voted_for = from, out.write = true;
        set_election();
    }
    out.sends.push_back({from, VoteResponse{state_.term, grant, false}});
}

void Consensus::handle(const std::string& from, const VoteResponse& m, Output& out) {
    if (m.pre_vote ? role_ != Role::pre_candidate || m.term != state_.term + 1 : false) return;
    if (!m.pre_vote && m.term > state_.term) return become_follower(m.term, out);
    if (!m.pre_vote && (role_ != Role::candidate || m.term != state_.term)) return;
    if (m.granted && is_member(from)) votes_.insert(from);
    count_votes(out);
}

void Consensus::count_votes(Output& out) {
    if (votes_.size() < majority()) return;
    if (role_ == Role::pre_candidate)
        campaign(false, out);
    else if (role_ == Role::candidate)
        lead(out);
}

void Consensus::handle(const std::string& from, const TimeoutNow& m, Output& out) {
    if (role_ != Role::follower || m.term != state_.term || from != leader_) return;
    heard_leader_ = 0;
    campaign(false, out, true);
}

void Consensus::resign(Micros now, Output& out) {
    now_ = now;
    if (role_ != Role::leader || resigned_) return;
    resigned_ = true;
    fail_waiting(out);
    std::string best;
    for (const std::string& m : members())
        if (m != options_.self && peers_[m].held == state_.entry.position &&
            (best.empty() || peers_[m].heard > peers_[best].heard))
            best = m;
    if (!best.empty()) out.sends.push_back({best, TimeoutNow{state_.term}});
}

// ---- leading
// -------------------------------------------------------------------------------------------------

void Consensus::lead(Output& out) {
    role_ = Role::leader;
    leader_ = options_.self;
    resigned_ = false;
    rounds_.clear();
    applicants_.clear();
    for (auto& [who, peer] : peers_) peer.round = 0, peer.held = {}, peer.carried = 0;
    // From here on each has the whole time to be heard.
    for (const std::string& m : members()) peers_[m].heard = now_;
    state_.last_leader = options_.self;  // written with the first entry
    // What an earlier term left half done is committed, or not, with the first entry of this one.
    begin(state_.entry, out);
}

void Consensus::begin(LogEntry entry, Output& out) {
    entry.position = {state_.term, state_.entry.position.index + 1};
    state_.entry = std::move(entry);
    deltas_.clear();
    out.write = true;
    bodies_[state_.entry.position] = state_.entry.body;
    while (bodies_.size() > kBodies) bodies_.erase(bodies_.begin());
    round(out);
    settle(out);  // alone it is a majority
}

void Consensus::round(Output& out) {
    rounds_[++round_] = now_;
    while (rounds_.size() > 64) rounds_.erase(rounds_.begin());
    next_round_ = now_ + options_.heartbeat;
    for (const std::string& m : members())
        if (m != options_.self) order(m, out);
}

void Consensus::order(const std::string& to, Output& out) {
    Peer& peer = peers_[to];
    AppendRequest m{state_.term, round_, state_.entry.position, committed_.position, false, 0, {}, {}, {}};
    const bool lacks = peer.held != state_.entry.position;
    if (lacks && (peer.carried_index != state_.entry.position.index || now_ >= peer.carried + kAgain)) {
        peer.carried = now_, peer.carried_index = state_.entry.position.index;
        m.carries = true;
        m.version = state_.entry.version;
        m.members = state_.entry.members;
        // Not heard yet: most likely it holds what stood here before.
        LogPosition base = peer.held;
        if (base == LogPosition{} && !peer.whole && bodies_.size() > 1)
            base = std::prev(bodies_.end(), 2)->first;
        const auto known = bodies_.find(base);
        if (known != bodies_.end()) m.base = base;
        std::string& delta = deltas_[m.base];
        if (delta.empty())
            delta = make_delta(known != bodies_.end() ? known->second : std::string(), state_.entry.body);
        m.delta = {m.base.index, delta};
    }
    out.sends.push_back({to, std::move(m)});
}

void Consensus::handle(const std::string& from, const AppendRequest& m, Output& out) {
    if (role_ == Role::non_member) {
        // A machine that was asked in is told so by the entry that names it. One whose disk is new, and that
        // does not know yet whether it once belonged here, waits until a majority has told it.
        if (!joining_ || !m.carries ||
            std::find(m.members.begin(), m.members.end(), options_.self) == m.members.end())
            return;
        if (m.base > LogPosition{}) return;
        state_.member = true;
        role_ = Role::follower;
        out.write = true;
    }
    if (m.term < state_.term) {
        out.sends.push_back({from, AppendResponse{state_.term, 0, state_.entry.position}});
        return;
    }
    if (m.term > state_.term || role_ != Role::follower) become_follower(m.term, out);
    leader_ = from;
    heard_leader_ = now_;
    if (state_.last_leader != from)
        state_.last_leader = from, out.write = true;  // before the answer that grants the lease
    set_election();
    if (m.carries && m.head > state_.entry.position) {
        const auto base = bodies_.find(m.base);
        if (m.base == LogPosition{} || base != bodies_.end()) {
            leaf::try_handle_all(
                [&]() -> leaf::result<void> {
                    BOOST_LEAF_AUTO(body, apply_delta(m.base == LogPosition{} ? std::string() : base->second,
                                                      m.delta.bytes));
                    state_.entry = {m.head, m.version, m.members, std::move(body)};
                    out.write = true;
                    bodies_[state_.entry.position] = state_.entry.body;
                    while (bodies_.size() > kBodies) bodies_.erase(bodies_.begin());
                    return {};
                },
                [] {});  // what does not fit is asked for again by the receipt
        }
    }
    if (m.committed == state_.entry.position && committed_.position != m.committed) committed_ = state_.entry;
    out.sends.push_back({from, AppendResponse{state_.term, m.round, state_.entry.position}});
}

void Consensus::handle(const std::string& from, const AppendResponse& m, Output& out) {
    if (m.term > state_.term) return become_follower(m.term, out);
    if (role_ != Role::leader || m.term != state_.term) return;
    Peer& peer = peers_[from];
    peer.round = std::max(peer.round, m.round);
    peer.held = m.held;
    peer.whole = false;
    // It could not make the head from what it holds: now we know what that is.
    if (m.held != state_.entry.position && peer.carried_index == state_.entry.position.index &&
        peer.carried > 0 && m.round == round_) {
        peer.carried = 0;
        peer.carried_index = 0;
    }
    settle(out);
}

void Consensus::settle(Output& out) {
    if (committed_.position == state_.entry.position) return;
    std::size_t hold = 0;
    for (const std::string& m : members()) {
        const auto at = peers_.find(m);
        hold += m == options_.self || (at != peers_.end() && at->second.held == state_.entry.position);
    }
    if (hold < majority()) return;
    committed_ = state_.entry;
    std::vector<Waiting> left;
    for (Waiting& w : waiting_) {
        if (w.index > 0 && w.index <= committed_.position.index)
            out.results.push_back({w.ticket, true});
        else
            left.push_back(std::move(w));
    }
    waiting_ = std::move(left);
    next_change(out);
    next_round_ =
        std::min(next_round_, now_ + options_.heartbeat / 4);  // followers learn soon that it is committed
}

void Consensus::propose(Micros now, Number ticket, Number version, std::string body, Output& out) {
    now_ = now;
    if (!leads(now)) {
        out.results.push_back({ticket, false});
        return;
    }
    // The highest version prevails: what is not above the one held is acknowledged and alters nothing, once
    // that one is committed itself.
    if (version <= committed_.version) {
        out.results.push_back({ticket, true});
        return;
    }
    waiting_.push_back({ticket, version, std::move(body), 0});
    next_change(out);
}

// One change at a time: what came meanwhile is put together, the highest version of it goes next.
void Consensus::next_change(Output& out) {
    if (role_ != Role::leader || resigned_ || committed_.position != state_.entry.position ||
        committed_.position.term != state_.term)
        return;
    LogEntry next = state_.entry;
    Waiting* highest = nullptr;
    for (Waiting& w : waiting_)
        if (w.index == 0 && w.version > next.version && (!highest || w.version > highest->version))
            highest = &w;
    if (highest) {
        next.version = highest->version;
        next.body = std::move(highest->body);
        for (Waiting& w : waiting_) w.index = next.position.index + 1;
        return begin(std::move(next), out);
    }
    for (const std::string& who : std::exchange(applicants_, {})) {
        if (is_member(who)) continue;
        next.members.push_back(who);
        peers_[who] = {now_, {}, 0, 0, 0, true};
        return begin(std::move(next), out);
    }
    // An even number bears no more losses than one less: who has long been silent leaves, and may ask to come
    // back.
    if (members().size() % 2 != 0 || members().size() < 4) return;
    for (const std::string& m : members()) {
        if (m == options_.self || now_ < peers_[m].heard + options_.dead_after) continue;
        std::erase(next.members, m);
        return begin(std::move(next), out);
    }
}

// ---- coming in, and coming back without a disk
// ---------------------------------------------------------------

void Consensus::send_recovery_requests(Output& out) {
    if (now_ < next_inquiry_) return;
    next_inquiry_ = now_ + kInquiry;
    if (nonce_ == 0) nonce_ = chance_ | 1, told_.clear();
    std::set<std::string> all(options_.seeds.begin(), options_.seeds.end());
    all.insert(members().begin(), members().end());
    for (const auto& [who, one] : told_) all.insert(one.entry.members.begin(), one.entry.members.end());
    all.erase(options_.self);
    for (const std::string& m : all) out.sends.push_back({m, RecoveryRequest{nonce_}});
}

void Consensus::handle(const std::string& from, const RecoveryRequest& m, Output& out) {
    if (role_ == Role::non_member) return;
    const bool knows = role_ == Role::leader || now_ < heard_leader_ + options_.election_timeout;
    out.sends.push_back({from, RecoveryResponse{m.nonce, state_.term, knows ? leader_ : "", state_.entry}});
}

void Consensus::handle(const std::string& from, const RecoveryResponse& m, Output& out) {
    if (m.nonce != nonce_ || nonce_ == 0) return;
    told_[from] = m;
    const RecoveryResponse* newest = &m;
    Number term = 0;
    for (const auto& [who, one] : told_) {
        if (one.entry.position > newest->entry.position) newest = &one;
        term = std::max(term, one.term);
    }
    // As many of the others as a majority: one of them at least has whatever was committed, even if we had
    // the other copy of it, and knows of any term in which a majority with us in it elected.
    const std::vector<std::string>& group = newest->entry.members;
    std::size_t answered = 0;
    for (const std::string& who : group) answered += who != options_.self && told_.count(who) > 0;
    if (group.empty() || answered < group.size() / 2 + 1) return;
    const bool belongs = std::find(group.begin(), group.end(), options_.self) != group.end();
    if (!belongs) {
        // Left out, or never in: from here on nothing is promised before we are let in again.
        if (role_ != Role::non_member) {
            if (newest->entry.position <= state_.entry.position || role_ == Role::leader) return;
            role_ = Role::non_member;
            state_.member = false;
            state_.entry = newest->entry;
            state_.term = std::max(state_.term, term);
            out.write = true;
        }
        joining_ = true;
        if (!m.leader.empty()) out.sends.push_back({m.leader, JoinRequest{}});
        return;
    }
    if (role_ != Role::non_member) {
        told_.clear();
        return;
    }
    state_.member = true;
    state_.term = std::max(state_.term, term);
    // In that term we may have voted before. A candidate whom only we had heard may stand one term further,
    // or two if it tried again: in those no vote either.
    state_.voted_for = options_.self;
    state_.no_vote_through_term = state_.term + 2;
    recovered_ = now_;
    state_.entry = newest->entry;
    bodies_[state_.entry.position] = state_.entry.body;
    out.write = true;
    role_ = Role::follower;
    told_.clear();
    heard_leader_ = now_;
    set_election();
}

void Consensus::handle(const std::string& from, const JoinRequest&, Output&) {
    if (role_ == Role::leader && !is_member(from)) applicants_.insert(from);
}

}  // namespace gannethold::cluster
