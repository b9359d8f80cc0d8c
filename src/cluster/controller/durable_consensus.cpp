#include "cluster/controller/durable_consensus.hpp"

#include <algorithm>
#include <filesystem>
#include <random>
#include <system_error>
#include <utility>

#include "net/loop.hpp"
#include "cluster/base/events.hpp"

namespace gannethold::cluster {
namespace {

constexpr Micros kReopenInterval = 300'000;

// Derives the membership timeouts from the deployment's failure assumptions.
Consensus::Options consensus_options(const Settings& settings) {
    Consensus::Options options;
    options.self = settings.control_plane_address;
    options.seeds = settings.seed_addresses;
    options.random_seed = std::random_device()();
    // A started machine counts as failed for catch_up_time; the machine that it replaces must be removed by
    // then.
    constexpr Micros kMinReplaceAfter = 600'000;
    constexpr Micros kMaxReplaceAfter = 3'000'000;
    options.replace_after = std::clamp(settings.catch_up_time / 4, kMinReplaceAfter, kMaxReplaceAfter);
    options.remove_after = 2 * options.replace_after;
    return options;
}

}  // namespace

DurableConsensus::DurableConsensus(const Settings& settings, Callbacks callbacks)
    : settings_(settings), callbacks_(std::move(callbacks)) {}

void DurableConsensus::open(Micros now) {
    reopen_at_ = now + kReopenInterval;
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            std::error_code ignored;  // store_.open() reports the failure
            std::filesystem::create_directories(settings_.data_directory, ignored);
            BOOST_LEAF_AUTO(state, store_.open(settings_.data_directory));
            Consensus::Options options = consensus_options(settings_);
            options.bootstrap = settings_.is_initial_start && !state.voting_state.is_member;
            Event("storage_opened")
                .with("member", state.voting_state.is_member)
                .with("term", state.voting_state.term)
                .with("version", state.entry.version);
            consensus_.emplace(std::move(options), std::move(state), now);
            complete_step(consensus_->start());
            return {};
        },
        [&](ErrorCode code, const ErrorDetail& detail) {
            Event("storage_open_failed", Level::error)
                .with("error", error_response(code).name)
                .with("detail", detail.text);
        },
        [] {});
}

bool DurableConsensus::write_state() {
    return leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_CHECK(store_.write(consensus_->persistent_state()));
            return true;
        },
        [&](ErrorCode code, const ErrorDetail& detail) {
            Event("storage_write_failed", Level::error)
                .with("error", error_response(code).name)
                .with("detail", detail.text);
            return false;
        },
        [] { return false; });
}

void DurableConsensus::complete_step(const ConsensusOutput& output) {
    if (output.must_persist && !write_state()) {
        // No message of the step has been sent. The member continues from the state on disk once that can be
        // read again.
        consensus_.reset();
        reopen_at_ = net::Loop::now() + kReopenInterval;
        callbacks_.on_storage_failed();
        return;
    }
    for (const ConsensusOutput::OutboundMessage& outbound : output.messages)
        callbacks_.send(outbound.to, outbound.message);
    for (const ProposalResult& result : output.proposal_results) callbacks_.on_proposal_resolved(result);
    callbacks_.on_step_completed();
}

void DurableConsensus::on_timer(Micros now) {
    if (!consensus_ && now >= reopen_at_) open(now);
    if (!consensus_) return;
    complete_step(consensus_->on_timer(now));
}

void DurableConsensus::on_message(Micros now, const std::string& member, const Message& message) {
    if (consensus_) complete_step(consensus_->on_message(now, member, message));
}

void DurableConsensus::begin_leaving(Micros now) {
    if (consensus_) complete_step(consensus_->begin_leaving(now));
}

void DurableConsensus::set_seeds(const std::vector<std::string>& seeds) {
    if (consensus_) consensus_->set_seeds(seeds);
}

void DurableConsensus::propose(Micros now, Proposal proposal) {
    complete_step(consensus_->propose(now, std::move(proposal)));
}

}  // namespace gannethold::cluster
