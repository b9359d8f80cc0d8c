// Statistics about the requests of a proxy, for operators: the runner selected for each request with the
// reason, and the responses that were late, rejections or errors, with the cause.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "cluster/base/bounded_history.hpp"
#include "cluster/proxy/actions.hpp"
#include "types.hpp"

namespace gannethold::cluster {

/// The runner that a request was sent to, or the error that it was answered with.
struct RoutingDecision {
    Micros at = 0;
    Micros waited = 0;  ///< since the request arrived
    RequestId request = 0;
    std::string service;
    std::string runner;
    const char* reason = "";  ///< of the selection, or the name of the error
};

/// A response that was late, a rejection or an error, with the last cause of delay.
struct ValueLoss {
    enum class Cause : std::uint8_t { cold_start, slot, memory, coordinator, runner, work, budget, route };
    enum class Outcome : std::uint8_t {
        late,      ///< answered after its latency target
        rejected,  ///< the request has not run
        failed,    ///< no success was received for a request that may have run
    };
    static constexpr std::size_t kCauseCount = 8;
    static constexpr std::size_t kOutcomeCount = 3;

    Micros at = 0;
    Micros took = 0;
    std::string service;
    Cause cause = Cause::work;
    Outcome outcome = Outcome::late;
};

/// Returns the name used in the log and in the output of gannethold-explain.
const char* name_of(ValueLoss::Cause cause);
const char* name_of(ValueLoss::Outcome outcome);

/// Counts all losses, and keeps the most recent decisions and the losses that were not fetched yet.
class RequestStatistics {
  public:
    /// The maximum number of decisions, and of losses not fetched yet. The oldest decisions are dropped;
    /// losses beyond the maximum are only counted.
    static constexpr std::size_t kMaxEntries = 256;

    void record(RoutingDecision decision) { decisions_.add(std::move(decision)); }
    void record(const ValueLoss& loss);

    const BoundedHistory<RoutingDecision>& decisions() const { return decisions_; }
    /// Returns the number of losses since the process started.
    std::uint64_t count(ValueLoss::Cause cause, ValueLoss::Outcome outcome) const {
        return loss_counts_[static_cast<std::size_t>(cause)][static_cast<std::size_t>(outcome)];
    }
    /// Returns and discards the losses recorded since the previous call, at most kMaxEntries of them.
    std::vector<ValueLoss> take_new_losses() { return std::exchange(new_losses_, {}); }

  private:
    BoundedHistory<RoutingDecision> decisions_{kMaxEntries};
    std::array<std::array<std::uint64_t, ValueLoss::kOutcomeCount>, ValueLoss::kCauseCount> loss_counts_{};
    std::vector<ValueLoss> new_losses_;
};

}  // namespace gannethold::cluster
