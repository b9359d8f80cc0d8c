// What goes into the digest of a simulated system's outputs (output_digest.hpp), and how.
#include "cluster/base/error.hpp"
#include "cluster/wire/codec.hpp"
#include "world_parts.hpp"

namespace gannethold::cluster::played {

void World::digest_message(std::uint64_t from, std::uint64_t to, const Message& message) {
    if (records_digest_) digest_output(from, to, std::string_view(encode(message)));
}

void World::digest_consensus_output(std::size_t core, const ConsensusOutput& out) {
    if (!records_digest_) return;
    if (out.must_persist) {
        const PersistentState& state = cores_[core]->consensus->persistent_state();
        digest_output(std::uint64_t{core}, std::string_view(encode_promise(state.promise)),
                      std::string_view(encode_entry(state.entry)));
    }
    for (const ConsensusOutput::Envelope& envelope : out.messages) {
        digest_output(std::string_view(envelope.to));
        digest_message(core, 0, envelope.message);
    }
    for (const ProposalResult& result : out.proposal_results)
        digest_output(std::uint64_t{core}, result.ticket, static_cast<std::uint64_t>(result.outcome));
}

void World::digest_actions(std::size_t front, const Actions& actions) {
    if (!records_digest_) return;
    for (const auto& reply : actions.local_replies) {
        const ErrorResponse answer = error_response(reply.error);
        digest_output(std::uint64_t{front}, reply.request, static_cast<std::uint64_t>(answer.status),
                      std::uint64_t{reply.retry_after_ms});
    }
    for (const RequestId request : actions.relayed_responses) digest_output(std::uint64_t{front}, request);
    for (const RequestId request : actions.cancelled_attempts) digest_output(std::uint64_t{front}, request);
    for (const auto& forward : actions.forwards)
        digest_output(std::uint64_t{front}, forward.request, std::string_view(forward.runner),
                      std::string_view(forward.address));
    for (const std::string& address : actions.probed_addresses)
        digest_output(std::uint64_t{front}, std::string_view(address));
}

}  // namespace gannethold::cluster::played
