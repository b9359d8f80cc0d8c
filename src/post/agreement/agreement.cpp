#include "post/agreement/agreement.hpp"

#include <algorithm>
#include <utility>

#include "post/configuration/delta.hpp"

namespace gannethold::post {
namespace {

constexpr std::size_t kBodies = 6;     // kept for differences
constexpr Micros kAgain = 400'000;     // before a head that was not confirmed is carried again
constexpr Micros kInquiry = 250'000;
constexpr Micros kRecovered = 1'500'000;  // after a lost disk was made good, others are left to elect
constexpr Micros kEager = 1'200'000, kEagerEach = 40'000;  // after a start, who led before asks so often for votes

}  // namespace

Agreement::Agreement(Terms terms, Durable durable, Micros now, Outcome& out)
    : terms_(std::move(terms)), durable_(std::move(durable)), now_(now), started_(now), heard_leader_(now), chance_(terms_.chance * 2 + 1) {
    if (!durable_.member && terms_.first_start &&
        std::find(terms_.seeds.begin(), terms_.seeds.end(), terms_.self) != terms_.seeds.end()) {
        // All founders were told the same seeds, so all found the same core; whoever is no founder asks to be let in.
        durable_.member = true;
        durable_.entry.stamp = {0, 1};
        durable_.entry.members = terms_.seeds;
        out.write = true;
    }
    if (durable_.member) role_ = Role::follower, bodies_[durable_.entry.stamp] = durable_.entry.body;
    next_inquiry_ = now;
    set_election();
    tick(now, out);
}

bool Agreement::is_member(const std::string& who) const {
    return std::find(members().begin(), members().end(), who) != members().end();
}

Micros Agreement::heard_from(const std::string& member) const {
    const auto at = peers_.find(member);
    return at == peers_.end() ? 0 : at->second.heard;
}

void Agreement::set_election() {
    chance_ ^= chance_ << 13, chance_ ^= chance_ >> 7, chance_ ^= chance_ << 17;
    if (durable_.followed == terms_.self && role_ != Role::leader && now_ < started_ + kEager) {
        // It led when it went down: whoever is up again may vote for it at once.
        election_at_ = now_ + kEagerEach + static_cast<Micros>(chance_ % kEagerEach);
        return;
    }
    election_at_ = now_ + terms_.patience + static_cast<Micros>(chance_ % static_cast<std::uint64_t>(terms_.patience * 2 / 3));
}

// Of the newest round that a majority has answered, when it was sent: until then nobody could have voted against us.
// While a change of members is not settled a majority of either set will do: any two of them share a member.
Micros Agreement::lease_start() const { return std::max(lease_start(members()), lease_start(settled_.members)); }

Micros Agreement::lease_start(const std::vector<std::string>& group) const {
    std::vector<Number> answered;
    for (const std::string& m : group) {
        const auto at = peers_.find(m);
        answered.push_back(m == terms_.self ? round_ : at == peers_.end() ? 0 : at->second.round);
    }
    if (answered.empty()) return 0;
    std::sort(answered.rbegin(), answered.rend());
    const auto at = rounds_.find(answered[group.size() / 2]);
    return at == rounds_.end() ? 0 : at->second;
}

bool Agreement::leads(Micros now) const {
    if (!holds()) return false;
    const Micros start = lease_start();
    return start > 0 && now < start + terms_.lease;
}

void Agreement::receive(Micros now, const std::string& from, const Message& message, Outcome& out) {
    now_ = now;
    if (from == terms_.self) return;
    peers_[from].heard = now;
    std::visit(
        [&](const auto& m) {
            if constexpr (requires { heed(from, m, out); }) heed(from, m, out);
        },
        message);
    tick(now, out);
}

void Agreement::tick(Micros now, Outcome& out) {
    now_ = now;
    if (role_ == Role::leader) {
        // A leader that no majority answers is none: who asks it should look for another.
        std::size_t heard = 1;
        for (const std::string& m : members()) heard += m != terms_.self && now <= heard_from(m) + 2 * terms_.patience;
        if (heard < majority()) {
            become_follower(durable_.term, out);
        } else {
            next_change(out);
            if (now >= next_round_) round(out);
        }
    }
    if (role_ != Role::leader && role_ != Role::stranger && now >= election_at_) {
        // One that was left out is told so by nobody's votes: it asks how things stand.
        if (now > heard_leader_ + 4 * terms_.patience) inquire(out);
        campaign(true, out);
    }
    if (role_ == Role::stranger) inquire(out);
    next_tick_ = role_ == Role::leader ? next_round_ : role_ == Role::stranger ? next_inquiry_ : election_at_;
}

void Agreement::become_follower(Number term, Outcome& out) {
    if (term > durable_.term) {
        durable_.term = term;
        durable_.voted_for.clear();
        out.write = true;
    }
    if (role_ == Role::leader) fail_waiting(out), leader_.clear();
    role_ = Role::follower;
    votes_.clear();
    set_election();
}

void Agreement::fail_waiting(Outcome& out) {
    for (const Waiting& w : std::exchange(waiting_, {})) out.verdicts.push_back({w.ticket, false});
}

// ---- election ------------------------------------------------------------------------------------------------

void Agreement::campaign(bool trial, Outcome& out, bool handed) {
    set_election();
    leader_.clear();
    if (!is_member(terms_.self)) return;
    // Those whose disks are whole elect among themselves first: each vote that can not be given is a term in vain.
    if (abstains(durable_.term + 1) && now_ < recovered_ + kRecovered) return;
    role_ = trial ? Role::trying : Role::candidate;
    votes_.clear();
    if (!abstains(durable_.term + 1)) votes_.insert(terms_.self);
    if (!trial) {
        ++durable_.term;
        durable_.voted_for = terms_.self;
        out.write = true;
    }
    // A trial promises nothing: against a machine that was cut off and comes back with a high term.
    for (const std::string& m : members())
        if (m != terms_.self) out.sends.push_back({m, Ballot{durable_.term + trial, durable_.entry.stamp, trial, handed}});
    count_votes(out);
}

void Agreement::heed(const std::string& from, const Ballot& m, Outcome& out) {
    if (role_ == Role::stranger) return;  // a new disk may have promised anything before
    const bool hears = role_ == Role::leader ? leads(now_) : owes(from);
    const bool newer = m.held >= durable_.entry.stamp;
    if (m.trial) {
        // Later on a term in vain is what it takes to come to one in which this machine may vote.
        const bool would = !abstains(m.term) || now_ >= recovered_ + kRecovered;
        out.sends.push_back({from, Vote{m.term, m.term > durable_.term && newer && !hears && would, true}});
        return;
    }
    // Against one that did not hear what all others hear. A leader that hands over has given up its lease itself.
    if (hears && !m.handed) return;
    if (m.term > durable_.term) become_follower(m.term, out);
    const bool grant = m.term == durable_.term && newer && role_ == Role::follower &&
                       !abstains(m.term) && (durable_.voted_for.empty() || durable_.voted_for == from);
    if (grant) {
        if (durable_.voted_for.empty()) durable_.voted_for = from, out.write = true;
        set_election();
    }
    out.sends.push_back({from, Vote{durable_.term, grant, false}});
}

void Agreement::heed(const std::string& from, const Vote& m, Outcome& out) {
    if (m.trial ? role_ != Role::trying || m.term != durable_.term + 1 : false) return;
    if (!m.trial && m.term > durable_.term) return become_follower(m.term, out);
    if (!m.trial && (role_ != Role::candidate || m.term != durable_.term)) return;
    if (m.granted && is_member(from)) votes_.insert(from);
    count_votes(out);
}

void Agreement::count_votes(Outcome& out) {
    if (votes_.size() < majority()) return;
    if (role_ == Role::trying) campaign(false, out);
    else if (role_ == Role::candidate) lead(out);
}

void Agreement::heed(const std::string& from, const Succession& m, Outcome& out) {
    if (role_ != Role::follower || m.term != durable_.term || from != leader_) return;
    heard_leader_ = 0;
    campaign(false, out, true);
}

void Agreement::resign(Micros now, Outcome& out) {
    now_ = now;
    if (role_ != Role::leader || resigned_) return;
    resigned_ = true;
    fail_waiting(out);
    std::string best;
    for (const std::string& m : members())
        if (m != terms_.self && peers_[m].held == durable_.entry.stamp && (best.empty() || peers_[m].heard > peers_[best].heard)) best = m;
    if (!best.empty()) out.sends.push_back({best, Succession{durable_.term}});
}

// ---- leading -------------------------------------------------------------------------------------------------

void Agreement::lead(Outcome& out) {
    role_ = Role::leader;
    leader_ = terms_.self;
    resigned_ = false;
    rounds_.clear();
    applicants_.clear();
    for (auto& [who, peer] : peers_) peer.round = 0, peer.held = {}, peer.carried = 0;
    // From here on each has the whole time to be heard.
    for (const std::string& m : members()) peers_[m].heard = now_;
    durable_.followed = terms_.self;  // written with the first entry
    // What an earlier term left half done is settled, or not, with the first entry of this one.
    begin(durable_.entry, out);
}

void Agreement::begin(Entry entry, Outcome& out) {
    entry.stamp = {durable_.term, durable_.entry.stamp.index + 1};
    durable_.entry = std::move(entry);
    patches_.clear();
    out.write = true;
    bodies_[durable_.entry.stamp] = durable_.entry.body;
    while (bodies_.size() > kBodies) bodies_.erase(bodies_.begin());
    round(out);
    settle(out);  // alone it is a majority
}

void Agreement::round(Outcome& out) {
    rounds_[++round_] = now_;
    while (rounds_.size() > 64) rounds_.erase(rounds_.begin());
    next_round_ = now_ + terms_.heartbeat;
    for (const std::string& m : members())
        if (m != terms_.self) order(m, out);
}

void Agreement::order(const std::string& to, Outcome& out) {
    Peer& peer = peers_[to];
    Order m{durable_.term, round_, durable_.entry.stamp, settled_.stamp, false, 0, {}, {}, {}};
    const bool lacks = peer.held != durable_.entry.stamp;
    if (lacks && (peer.carried_index != durable_.entry.stamp.index || now_ >= peer.carried + kAgain)) {
        peer.carried = now_, peer.carried_index = durable_.entry.stamp.index;
        m.carries = true;
        m.version = durable_.entry.version;
        m.members = durable_.entry.members;
        // Not heard yet: most likely it holds what stood here before.
        Stamp base = peer.held;
        if (base == Stamp{} && !peer.whole && bodies_.size() > 1) base = std::prev(bodies_.end(), 2)->first;
        const auto known = bodies_.find(base);
        if (known != bodies_.end()) m.base = base;
        std::string& patch = patches_[m.base];
        if (patch.empty()) patch = delta(known != bodies_.end() ? known->second : std::string(), durable_.entry.body);
        m.patch = {m.base.index, patch};
    }
    out.sends.push_back({to, std::move(m)});
}

void Agreement::heed(const std::string& from, const Order& m, Outcome& out) {
    if (role_ == Role::stranger) {
        // A machine that was asked in is told so by the entry that names it. One whose disk is new, and that does not
        // know yet whether it once belonged here, waits until a majority has told it.
        if (!joining_ || !m.carries || std::find(m.members.begin(), m.members.end(), terms_.self) == m.members.end()) return;
        if (m.base > Stamp{}) return;
        durable_.member = true;
        role_ = Role::follower;
        out.write = true;
    }
    if (m.term < durable_.term) {
        out.sends.push_back({from, Receipt{durable_.term, 0, durable_.entry.stamp}});
        return;
    }
    if (m.term > durable_.term || role_ != Role::follower) become_follower(m.term, out);
    leader_ = from;
    heard_leader_ = now_;
    if (durable_.followed != from) durable_.followed = from, out.write = true;  // before the answer that grants the lease
    set_election();
    if (m.carries && m.head > durable_.entry.stamp) {
        const auto base = bodies_.find(m.base);
        if (m.base == Stamp{} || base != bodies_.end()) {
            leaf::try_handle_all(
                [&]() -> leaf::result<void> {
                    BOOST_LEAF_AUTO(body, patched(m.base == Stamp{} ? std::string() : base->second, m.patch.bytes));
                    durable_.entry = {m.head, m.version, m.members, std::move(body)};
                    out.write = true;
                    bodies_[durable_.entry.stamp] = durable_.entry.body;
                    while (bodies_.size() > kBodies) bodies_.erase(bodies_.begin());
                    return {};
                },
                [] {});  // what does not fit is asked for again by the receipt
        }
    }
    if (m.settled == durable_.entry.stamp && settled_.stamp != m.settled) settled_ = durable_.entry;
    out.sends.push_back({from, Receipt{durable_.term, m.round, durable_.entry.stamp}});
}

void Agreement::heed(const std::string& from, const Receipt& m, Outcome& out) {
    if (m.term > durable_.term) return become_follower(m.term, out);
    if (role_ != Role::leader || m.term != durable_.term) return;
    Peer& peer = peers_[from];
    peer.round = std::max(peer.round, m.round);
    peer.held = m.held;
    peer.whole = false;
    // It could not make the head from what it holds: now we know what that is.
    if (m.held != durable_.entry.stamp && peer.carried_index == durable_.entry.stamp.index && peer.carried > 0 && m.round == round_) {
        peer.carried = 0;
        peer.carried_index = 0;
    }
    settle(out);
}

void Agreement::settle(Outcome& out) {
    if (settled_.stamp == durable_.entry.stamp) return;
    std::size_t hold = 0;
    for (const std::string& m : members()) {
        const auto at = peers_.find(m);
        hold += m == terms_.self || (at != peers_.end() && at->second.held == durable_.entry.stamp);
    }
    if (hold < majority()) return;
    settled_ = durable_.entry;
    std::vector<Waiting> left;
    for (Waiting& w : waiting_) {
        if (w.index > 0 && w.index <= settled_.stamp.index) out.verdicts.push_back({w.ticket, true});
        else left.push_back(std::move(w));
    }
    waiting_ = std::move(left);
    next_change(out);
    next_round_ = std::min(next_round_, now_ + terms_.heartbeat / 4);  // followers learn soon that it is settled
}

void Agreement::propose(Micros now, Number ticket, Number version, std::string body, Outcome& out) {
    now_ = now;
    if (!leads(now)) {
        out.verdicts.push_back({ticket, false});
        return;
    }
    // The highest version prevails: what is not above the one held is acknowledged and alters nothing, once that one
    // is settled itself.
    if (version <= settled_.version) {
        out.verdicts.push_back({ticket, true});
        return;
    }
    waiting_.push_back({ticket, version, std::move(body), 0});
    next_change(out);
}

// One change at a time: what came meanwhile is put together, the highest version of it goes next.
void Agreement::next_change(Outcome& out) {
    if (role_ != Role::leader || resigned_ || settled_.stamp != durable_.entry.stamp || settled_.stamp.term != durable_.term) return;
    Entry next = durable_.entry;
    Waiting* highest = nullptr;
    for (Waiting& w : waiting_)
        if (w.index == 0 && w.version > next.version && (!highest || w.version > highest->version)) highest = &w;
    if (highest) {
        next.version = highest->version;
        next.body = std::move(highest->body);
        for (Waiting& w : waiting_) w.index = next.stamp.index + 1;
        return begin(std::move(next), out);
    }
    for (const std::string& who : std::exchange(applicants_, {})) {
        if (is_member(who)) continue;
        next.members.push_back(who);
        peers_[who] = {now_, {}, 0, 0, 0, true};
        return begin(std::move(next), out);
    }
    // An even number bears no more losses than one less: who has long been silent leaves, and may ask to come back.
    if (members().size() % 2 != 0 || members().size() < 4) return;
    for (const std::string& m : members()) {
        if (m == terms_.self || now_ < peers_[m].heard + terms_.dead_after) continue;
        std::erase(next.members, m);
        return begin(std::move(next), out);
    }
}

// ---- coming in, and coming back without a disk ---------------------------------------------------------------

void Agreement::inquire(Outcome& out) {
    if (now_ < next_inquiry_) return;
    next_inquiry_ = now_ + kInquiry;
    if (nonce_ == 0) nonce_ = chance_ | 1, told_.clear();
    std::set<std::string> all(terms_.seeds.begin(), terms_.seeds.end());
    all.insert(members().begin(), members().end());
    for (const auto& [who, one] : told_) all.insert(one.entry.members.begin(), one.entry.members.end());
    all.erase(terms_.self);
    for (const std::string& m : all) out.sends.push_back({m, Inquiry{nonce_}});
}

void Agreement::heed(const std::string& from, const Inquiry& m, Outcome& out) {
    if (role_ == Role::stranger) return;
    const bool knows = role_ == Role::leader || now_ < heard_leader_ + terms_.patience;
    out.sends.push_back({from, Recollection{m.nonce, durable_.term, knows ? leader_ : "", durable_.entry}});
}

void Agreement::heed(const std::string& from, const Recollection& m, Outcome& out) {
    if (m.nonce != nonce_ || nonce_ == 0) return;
    told_[from] = m;
    const Recollection* newest = &m;
    Number term = 0;
    for (const auto& [who, one] : told_) {
        if (one.entry.stamp > newest->entry.stamp) newest = &one;
        term = std::max(term, one.term);
    }
    // As many of the others as a majority: one of them at least has whatever was settled, even if we had the other
    // copy of it, and knows of any term in which a majority with us in it elected.
    const std::vector<std::string>& group = newest->entry.members;
    std::size_t answered = 0;
    for (const std::string& who : group) answered += who != terms_.self && told_.count(who) > 0;
    if (group.empty() || answered < group.size() / 2 + 1) return;
    const bool belongs = std::find(group.begin(), group.end(), terms_.self) != group.end();
    if (!belongs) {
        // Left out, or never in: from here on nothing is promised before we are let in again.
        if (role_ != Role::stranger) {
            if (newest->entry.stamp <= durable_.entry.stamp || role_ == Role::leader) return;
            role_ = Role::stranger;
            durable_.member = false;
            durable_.entry = newest->entry;
            durable_.term = std::max(durable_.term, term);
            out.write = true;
        }
        joining_ = true;
        if (!m.leader.empty()) out.sends.push_back({m.leader, Admission{}});
        return;
    }
    if (role_ != Role::stranger) {
        told_.clear();
        return;
    }
    durable_.member = true;
    durable_.term = std::max(durable_.term, term);
    // In that term we may have voted before. A candidate whom only we had heard may stand one term further, or two if
    // it tried again: in those no vote either.
    durable_.voted_for = terms_.self;
    durable_.abstains = durable_.term + 2;
    recovered_ = now_;
    durable_.entry = newest->entry;
    bodies_[durable_.entry.stamp] = durable_.entry.body;
    out.write = true;
    role_ = Role::follower;
    told_.clear();
    heard_leader_ = now_;
    set_election();
}

void Agreement::heed(const std::string& from, const Admission&, Outcome&) {
    if (role_ == Role::leader && !is_member(from)) applicants_.insert(from);
}

}  // namespace gannethold::post
