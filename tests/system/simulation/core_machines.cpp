#include "core_machines.hpp"

#include <algorithm>

#include "consensus/faulty_rules.hpp"

namespace gannethold::cluster::simulation {
namespace {

constexpr Micros kDiskRetryInterval = 300'000;
constexpr Micros kTickInterval = 50'000;
constexpr Micros kMinTickInterval = 1'000;
constexpr Micros kRestartAfterCrash = 700'000;
constexpr Micros kShutdownGrace = 6'000'000;
constexpr Micros kRestartAfterShutdown = 300'000;
constexpr double kWriteReachesDisk = 0.5;  // of a machine that crashes in it

// Those faults that only the code under test itself can have.
const ConsensusRules& rules_with_fault(PlantedFault fault) {
    static const tests::IncomingMajorityOnly kIncomingMajorityOnly;
    static const tests::LearnersVoteAtOnce kLearnersVoteAtOnce;
    static const tests::NoJointConsensus kNoJointConsensus;
    static const tests::ResendsCompleteEntry kResendsCompleteEntry;
    switch (fault) {
        case PlantedFault::incoming_majority_only:
            return kIncomingMajorityOnly;
        case PlantedFault::learners_vote_at_once:
            return kLearnersVoteAtOnce;
        case PlantedFault::no_joint_consensus:
            return kNoJointConsensus;
        case PlantedFault::resend_complete_entry:
            return kResendsCompleteEntry;
        default:
            return ConsensusRules::standard();
    }
}

}  // namespace

CoreMachines::CoreMachines(Environment& environment, Network& network, CoreObserver& observer)
    : environment_(environment), network_(network), observer_(observer) {
    for (std::size_t core = 0; core < environment.shape.cores; ++core) {
        machines_.push_back(std::make_unique<CoreMachine>());
        machines_[core]->address = core_address(core);
        if (core < environment.shape.seeds) seeds_.push_back(machines_[core]->address);
        network_.add_machine();
    }
}

// ---- start and end

void CoreMachines::start_all() {
    for (std::size_t core = 0; core < size(); ++core) start(core);
}

void CoreMachines::start(std::size_t core) {
    CoreMachine& starting = machine(core);
    if (starting.up || starting.retired) return;
    starting.up = true;
    starting.shutdown_deadline = 0;
    ++starting.incarnation;
    open(core);
    starting.first_start = false;
    environment_.events.after(0, [this, core] { tick(core); });
}

std::size_t CoreMachines::add() {
    const std::size_t core = size();
    machines_.push_back(std::make_unique<CoreMachine>());
    machines_[core]->address = core_address(core);
    machines_[core]->first_start = false;
    network_.add_machine();
    start(core);
    return core;
}

std::size_t CoreMachines::add_successor(std::size_t core) {
    const auto seed = std::find(seeds_.begin(), seeds_.end(), at(core).address);
    if (seed != seeds_.end()) *seed = core_address(size());
    for (const auto& each : machines_)
        if (each->consensus) each->consensus->set_seeds(seeds_);
    return add();
}

void CoreMachines::open(std::size_t core) {
    CoreMachine& opening = machine(core);
    Consensus::Options options;
    options.self = opening.address;
    options.seeds = seeds_;
    options.bootstrap = opening.first_start && !opening.disk.voting_state.is_member;
    options.random_seed = environment_.random.next();
    if (environment_.has_fault(PlantedFault::lease_without_drift))
        options.lease_duration = 3 * options.election_timeout;
    if (environment_.has_fault(PlantedFault::vote_after_wipe) && !opening.first_start &&
        !opening.disk.voting_state.is_member) {
        opening.disk.voting_state.is_member = true;
        opening.disk.entry.position = {0, 1};
        opening.disk.entry.members = seeds_;
    }
    options.rules = &rules_with_fault(environment_.shape.fault);
    opening.consensus.emplace(std::move(options), opening.disk, environment_.now());
    handle_output(core, opening.consensus->start());
}

void CoreMachines::kill(std::size_t core, bool lose_disk) {
    CoreMachine& killed = machine(core);
    if (lose_disk) killed.disk = {};
    if (!killed.up) return;
    killed.up = false;
    ++killed.incarnation;
    killed.crashes_at_next_write = false;
    network_.reset_machine(core);
    close_consensus(core);
}

void CoreMachines::crash_at_next_write(std::size_t core) { machine(core).crashes_at_next_write = true; }

void CoreMachines::retire(std::size_t core) {
    kill(core, true);
    machine(core).retired = true;
}

void CoreMachines::shut_down(std::size_t core, bool for_good) {
    CoreMachine& ending = machine(core);
    if (!ending.up || ending.shutdown_deadline > 0) return;
    ending.shutdown_deadline = environment_.now() + kShutdownGrace;
    ending.restarts_after_shutdown = !for_good;
    leave(core);
}

void CoreMachines::end_if_allowed(std::size_t core) {
    CoreMachine& ending = machine(core);
    const bool may_end = ending.consensus && ending.consensus->can_stop();
    if (!may_end && environment_.now() < ending.shutdown_deadline) return;
    if (!may_end) ++overdue_shutdowns_;
    ending.shutdown_deadline = 0;
    if (!ending.restarts_after_shutdown) {
        retire(core);
        return;
    }
    kill(core);
    environment_.events.after(kRestartAfterShutdown, [this, core] { start(core); });
}

void CoreMachines::close_consensus(std::size_t core) {
    observer_.on_core_closed(core);
    machine(core).consensus.reset();
}

void CoreMachines::set_disk_works(std::size_t core, bool works) { machine(core).disk_works = works; }

void CoreMachines::stall(std::size_t core, Micros duration) {
    machine(core).stalled_until = environment_.now() + duration;
}

// ---- steps of the state machine

void CoreMachines::leave(std::size_t core) {
    CoreMachine& leaving = machine(core);
    if (!leaving.up || !leaving.consensus) return;
    handle_output(core, leaving.consensus->begin_leaving(environment_.now()));
}

void CoreMachines::propose(std::size_t core, Number ticket, Number version, std::string body) {
    Consensus& consensus = *machine(core).consensus;
    handle_output(core, consensus.propose(environment_.now(), {ticket, version, std::move(body)}));
}

void CoreMachines::tick(std::size_t core) {
    CoreMachine& ticking = machine(core);
    if (!ticking.up) return;
    const Number incarnation = ticking.incarnation;
    const Micros now = environment_.now();
    Micros next = now + kTickInterval;
    if (now < ticking.stalled_until) {
        next = ticking.stalled_until;
    } else {
        if (!ticking.consensus && now >= ticking.reopen_at && ticking.disk_works) open(core);
        if (ticking.up && ticking.consensus) handle_output(core, ticking.consensus->on_timer(now));
        if (ticking.up && ticking.consensus) observer_.on_core_step(core);
        if (ticking.up && ticking.shutdown_deadline > 0) end_if_allowed(core);
        if (ticking.up) observer_.on_core_tick(core);
        if (ticking.up && ticking.consensus)
            next = std::min(next, std::max(now + kMinTickInterval, ticking.consensus->next_timer()));
    }
    if (!ticking.up || ticking.incarnation != incarnation) return;
    environment_.events.at(next, [this, core, incarnation] {
        if (at(core).incarnation == incarnation) tick(core);
    });
}

void CoreMachines::handle_output(std::size_t core, const ConsensusOutput& out) {
    environment_.recorder.add_consensus_output(core, at(core).consensus->persistent_state(), out);
    const bool sends_first = out.must_persist && environment_.has_fault(PlantedFault::send_before_sync);
    if (sends_first) send(core, out);
    if (out.must_persist && !write_disk(core)) return;
    if (!sends_first) send(core, out);
    observer_.on_core_step(core);
}

bool CoreMachines::write_disk(std::size_t core) {
    CoreMachine& writing = machine(core);
    if (!writing.crashes_at_next_write && !writing.disk_works) {
        close_consensus(core);
        writing.reopen_at = environment_.now() + kDiskRetryInterval;
        return false;
    }
    const bool crashes = std::exchange(writing.crashes_at_next_write, false);
    // The write of a machine that crashes is on the disk in full or not at all.
    if (!crashes || environment_.random.happens(kWriteReachesDisk))
        writing.disk = writing.consensus->persistent_state();
    writing.newest_synced = std::max(writing.newest_synced, writing.disk.entry.position);
    if (!crashes) return true;
    kill(core);
    environment_.events.after(kRestartAfterCrash, [this, core] { start(core); });
    return false;
}

void CoreMachines::send(std::size_t core, const ConsensusOutput& out) {
    for (const ConsensusOutput::OutboundMessage& outbound : out.messages)
        for (std::size_t to = 0; to < size(); ++to) {
            if (at(to).address != outbound.to) continue;
            network_.send(core, to, outbound.message,
                          [this, core, to, message = outbound.message, incarnation = at(to).incarnation] {
                              receive(core, to, message, incarnation);
                          });
        }
    for (const ProposalResult& result : out.proposal_results) observer_.on_proposal_result(core, result);
}

void CoreMachines::receive(std::size_t from, std::size_t to, const Message& message, Number incarnation) {
    CoreMachine& receiver = machine(to);
    if (!receiver.up || receiver.incarnation != incarnation || !receiver.consensus) return;
    if (environment_.now() < receiver.stalled_until) {
        environment_.events.at(receiver.stalled_until, [this, from, to, message, incarnation] {
            receive(from, to, message, incarnation);
        });
        return;
    }
    handle_output(to, receiver.consensus->on_message(environment_.now(), at(from).address, message));
}

}  // namespace gannethold::cluster::simulation
