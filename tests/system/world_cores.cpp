// Cores: their start, end and troubles; disks; messages between them.
#include <algorithm>

#include "cluster/wire/codec.hpp"
#include "consensus/faulty_rules.hpp"
#include "world_parts.hpp"

namespace gannethold::cluster::played {

namespace {

constexpr Micros kReopen = 300'000;              // until a disk that failed is opened again
constexpr std::size_t kMostQueued = 256 * 1024;  // bytes to one member, before one more message

// Those faults that only the code under test itself can have.
const ConsensusRules& consensus_rules(Sabotage sabotage) {
    static const tests::IncomingMajorityOnly kIncomingMajorityOnly;
    static const tests::LearnersVoteAtOnce kLearnersVoteAtOnce;
    static const tests::NoJointConsensus kNoJointConsensus;
    static const tests::ResendsCompleteEntry kResendsCompleteEntry;
    switch (sabotage) {
        case Sabotage::quorum_of_new_voters:
            return kIncomingMajorityOnly;
        case Sabotage::learner_votes_at_once:
            return kLearnersVoteAtOnce;
        case Sabotage::change_without_joint_step:
            return kNoJointConsensus;
        case Sabotage::resend_whole_entry:
            return kResendsCompleteEntry;
        default:
            return ConsensusRules::standard();
    }
}

}  // namespace

void World::open_core(Core& core) {
    Consensus::Options options;
    options.self = core.name;
    options.seeds = seeds_;
    options.first_start = core.first && !core.disk.promise.member;
    options.random_seed = random_();
    if (shape_.sabotage == Sabotage::lease_without_drift)
        options.lease_duration = 3 * options.election_timeout;
    if (shape_.sabotage == Sabotage::vote_after_wipe && !core.first && !core.disk.promise.member) {
        // As if an empty disk were that of a member that never voted.
        core.disk.promise.member = true;
        core.disk.entry.position = {0, 1};
        core.disk.entry.members = seeds_;
    }
    options.rules = &consensus_rules(shape_.sabotage);
    core.consensus.emplace(std::move(options), core.disk, now_);
    carry_out(core, core.consensus->start());
}

void World::start_core(std::size_t i) {
    Core& core = *cores_[i];
    if (core.up || core.retired) return;
    core.up = true;
    core.ends_by = 0;
    ++core.life;
    open_core(core);
    core.first = false;
    at(now_, [this, i] { tick_core(i); });
}

std::size_t World::add_core() {
    cores_.push_back(std::make_unique<Core>());
    const std::size_t i = cores_.size() - 1;
    cores_[i]->name = "10.0.0." + std::to_string(i + 1) + ":80";
    cores_[i]->first = false;
    cut_off_since_.clear();  // every other one reaches it
    start_core(i);
    return i;
}

void World::kill_core(std::size_t i, bool lose_disk) {
    Core& core = *cores_[i];
    if (lose_disk) core.disk = {};
    if (!core.up) return;
    core.up = false;
    ++core.life;
    core.crash = false;
    if (links_.limited()) links_.reset_all(i);
    close_coordinator(core);
    core.consensus.reset();
}

void World::crash_in_write(std::size_t i) { cores_[i]->crash = true; }
void World::disk(std::size_t i, bool works) { cores_[i]->disk_works = works; }
void World::cut(std::size_t a, std::size_t b, bool one_way) {
    cuts_.insert({a, b});
    links_.block(a, b);
    if (!one_way) {
        cuts_.insert({b, a});
        links_.block(b, a);
    }
    note_cut_off();
}
void World::heal() {
    cuts_.clear();
    cut_off_since_.clear();
    links_.unblock_all();
}
void World::stall_core(std::size_t i, Micros span) { cores_[i]->stalled_until = now_ + span; }

void World::leave_core(std::size_t i) {
    Core& core = *cores_[i];
    if (!core.up || !core.consensus) return;
    carry_out(core, core.consensus->begin_leaving(now_));
}

void World::tick_core(std::size_t i) {
    Core& core = *cores_[i];
    if (!core.up) return;
    const Number life = core.life;
    Micros next = now_ + 50'000;
    if (now_ < core.stalled_until) {
        next = core.stalled_until;
    } else {
        if (!core.consensus && now_ >= core.reopen_at && core.disk_works) open_core(core);
        if (core.up && core.consensus) {
            carry_out(core, core.consensus->on_timer(now_));
        }
        if (core.up && core.consensus) look(core);
        if (core.up && core.ends_by > 0) end_if_it_may(core);
        if (core.up && core.coordinator && now_ >= core.coordinator->next && core.consensus->has_lease(now_))
            coordinator_step(core);
        if (core.up && core.consensus)
            next = std::min(next, std::max(now_ + 1'000, core.consensus->next_timer()));
    }
    if (!core.up || core.life != life) return;
    at(next, [this, i, life] {
        if (cores_[i]->life == life) tick_core(i);
    });
}

void World::carry_out(Core& core, const ConsensusOutput& out) {
    const std::size_t i = static_cast<std::size_t>(
        std::find_if(cores_.begin(), cores_.end(), [&](const auto& c) { return c.get() == &core; }) -
        cores_.begin());
    digest_consensus_output(i, out);
    const auto send = [&] {
        for (const auto& mail : out.messages)
            for (std::size_t to = 0; to < cores_.size(); ++to)
                if (cores_[to]->name == mail.to) deliver(i, to, mail.message);
        for (const auto& result : out.proposal_results) answered(core, result);
    };
    if (out.must_persist && shape_.sabotage == Sabotage::send_before_sync) send();
    if (out.must_persist) {
        if (core.crash) {
            core.crash = false;
            // The power went while it was written: there whole, or not at all; nothing was said.
            const bool there = chance(0.5);
            if (there) core.disk = core.consensus->persistent_state();
            core.synced = std::max(core.synced, core.disk.entry.position);
            kill_core(i);
            at(now_ + 700'000, [this, i] { start_core(i); });
            return;
        }
        if (!core.disk_works) {
            close_coordinator(core);
            core.consensus.reset();
            core.reopen_at = now_ + kReopen;
            return;
        }
        core.disk = core.consensus->persistent_state();
        core.synced = std::max(core.synced, core.disk.entry.position);
    }
    if (!(out.must_persist && shape_.sabotage == Sabotage::send_before_sync)) send();
    check_committed(core);
    look(core);
}

void World::check_committed(Core& core) {
    const LogEntry* const entry = core.consensus ? core.consensus->committed_entry() : nullptr;
    if (!entry || entry->version == 0 || entry->position == core.checked) return;
    core.checked = entry->position;
    const BodyHash body = hash_of(entry->body);
    const auto [known, fresh] = seen_bodies_.emplace(entry->version, body);
    if (!fresh && known->second != body)
        breach("two bodies committed as version " + std::to_string(entry->version));
}

void World::deliver(std::size_t from, std::size_t to, const Message& message) {
    // A slow link holds what a cut does not let through; else it is lost.
    if (!links_.limited() && !joined(from, to)) return;
    if (chance(shape_.loss)) return;
    const std::size_t bytes = links_.limited() ? encode(message).size() : 0;
    const std::size_t queued = links_.queued(from, to);
    most_queued = std::max(most_queued, queued + bytes);
    if (queued > kMostQueued)
        breach(std::to_string(queued) + " bytes wait from " + cores_[from]->name + " to " + cores_[to]->name);
    // What was sent arrives, whatever becomes of the sender.
    const Number life = cores_[to]->life;
    const std::uint64_t connection = links_.generation(from, to);
    links_.send(from, to, bytes, [this, from, to, message, life, connection] {
        const Micros delay = links_.limited() ? shape_.delay : hop();
        at(now_ + delay, [this, from, to, message, life, connection] {
            const bool lost = !links_.limited() && !joined(from, to);
            if (!lost && links_.generation(from, to) == connection) arrive(from, to, message, life);
        });
    });
}

void World::arrive(std::size_t from, std::size_t to, const Message& message, Number life) {
    Core& core = *cores_[to];
    if (!core.up || core.life != life || !core.consensus) return;
    if (now_ < core.stalled_until) {
        at(core.stalled_until, [this, from, to, message, life] { arrive(from, to, message, life); });
        return;
    }
    carry_out(core, core.consensus->on_message(now_, cores_[from]->name, message));
}

}  // namespace gannethold::cluster::played
