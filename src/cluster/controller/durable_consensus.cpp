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

// Times follow from what the deployment promises to bear.
Consensus::Options consensus_options(const Settings& settings) {
    Consensus::Options options;
    options.self = settings.control_plane;
    options.seeds = settings.seeds;
    options.random_seed = std::random_device()();
    // A machine counts as lost for catch_up after its start: by then its predecessor must be out.
    constexpr Micros kMinReplaceAfter = 600'000;
    constexpr Micros kMaxReplaceAfter = 3'000'000;
    options.replace_after = std::clamp(settings.catch_up / 4, kMinReplaceAfter, kMaxReplaceAfter);
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
            std::error_code ignored;  // the store says what is wrong
            std::filesystem::create_directories(settings_.data_directory, ignored);
            BOOST_LEAF_AUTO(state, store_.open(settings_.data_directory));
            Consensus::Options options = consensus_options(settings_);
            options.first_start = settings_.initial_start && !state.promise.member;
            Event("storage_opened")
                .with("member", state.promise.member)
                .with("term", state.promise.term)
                .with("version", state.entry.version);
            Output output;
            consensus_.emplace(std::move(options), std::move(state), now, output);
            complete_step(output);
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

void DurableConsensus::complete_step(Output& output) {
    if (output.write && !write_state()) {
        // Nothing of the step has left the machine. It goes on from what its disk holds, once that can be
        // read again.
        consensus_.reset();
        reopen_at_ = net::Loop::now() + kReopenInterval;
        callbacks_.on_storage_failed();
        return;
    }
    for (const Output::Envelope& envelope : output.sends) callbacks_.send(envelope.to, envelope.message);
    for (const Output::ProposalResult& result : output.results) callbacks_.on_proposal_resolved(result);
    callbacks_.on_step_completed();
}

void DurableConsensus::tick(Micros now) {
    if (!consensus_ && now >= reopen_at_) open(now);
    if (!consensus_) return;
    Output output;
    consensus_->tick(now, output);
    complete_step(output);
}

void DurableConsensus::receive(Micros now, const std::string& member, const Message& message) {
    if (!consensus_) return;
    Output output;
    consensus_->receive(now, member, message, output);
    complete_step(output);
}

void DurableConsensus::leave(Micros now) {
    if (!consensus_) return;
    Output output;
    consensus_->leave(now, output);
    complete_step(output);
}

void DurableConsensus::set_seeds(const std::vector<std::string>& seeds) {
    if (consensus_) consensus_->set_seeds(seeds);
}

void DurableConsensus::propose(Micros now, Number ticket, Number version, std::string body) {
    Output output;
    consensus_->propose(now, ticket, version, std::move(body), output);
    complete_step(output);
}

}  // namespace gannethold::cluster
