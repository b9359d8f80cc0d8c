#include "output_recorder.hpp"

#include "cluster/base/error.hpp"
#include "cluster/wire/codec.hpp"

namespace gannethold::cluster::simulation {

void OutputRecorder::add_message(std::uint64_t from, std::uint64_t to, const Message& message) {
    if (enabled_) add(from, to, encode(message));
}

void OutputRecorder::add_consensus_output(std::uint64_t core, const PersistentState& state,
                                          const ConsensusOutput& out) {
    if (!enabled_) return;
    if (out.must_persist) add(core, encode_voting_state(state.voting_state), encode_entry(state.entry));
    for (const ConsensusOutput::OutboundMessage& outbound : out.messages) {
        add(outbound.to);
        add_message(core, 0, outbound.message);
    }
    for (const ProposalResult& result : out.proposal_results)
        add(core, result.id, static_cast<std::uint64_t>(result.outcome));
}

void OutputRecorder::add_actions(std::uint64_t proxy, const Actions& actions) {
    if (!enabled_) return;
    for (const auto& reply : actions.local_replies) {
        const ErrorResponse answer = error_response(reply.error);
        add(proxy, reply.request, static_cast<std::uint64_t>(answer.status),
            std::uint64_t{reply.retry_after_ms});
    }
    for (const RequestId request : actions.relayed_responses) add(proxy, request);
    for (const RequestId request : actions.cancelled_attempts) add(proxy, request);
    for (const auto& forward : actions.forwards) add(proxy, forward.request, forward.runner, forward.address);
    for (const std::string& address : actions.probed_addresses) add(proxy, address);
}

}  // namespace gannethold::cluster::simulation
