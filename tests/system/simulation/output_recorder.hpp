// Takes the digest of all outputs of a simulated cluster: messages as encoded, what is written to disk,
// answers, and calls to the platform and to runners, each with its time.
#pragma once

#include <cstdint>

#include "cluster/consensus/consensus.hpp"
#include "cluster/proxy/request_handler.hpp"
#include "event_queue.hpp"
#include "output_digest.hpp"

namespace gannethold::cluster::simulation {

class OutputRecorder {
  public:
    explicit OutputRecorder(const EventQueue& events) : events_(events) {}

    /// Before this nothing is recorded: encoding every message takes time.
    void enable() { enabled_ = true; }
    /// 0 unless enabled.
    std::uint64_t digest() const { return enabled_ ? digest_.value() : 0; }

    template <class... Parts>
    void add(const Parts&... parts) {
        if (!enabled_) return;
        digest_.add(static_cast<std::uint64_t>(events_.now()));
        (digest_.add(parts), ...);
    }
    void add_message(std::uint64_t from, std::uint64_t to, const Message& message);
    /// `state` is what a write of this output puts on the core's disk.
    void add_consensus_output(std::uint64_t core, const PersistentState& state, const ConsensusOutput& out);
    void add_actions(std::uint64_t proxy, const Actions& actions);

  private:
    const EventQueue& events_;
    bool enabled_ = false;
    OutputDigest digest_;
};

}  // namespace gannethold::cluster::simulation
