// What operators may ask about the requests of a proxy: where each went and why, and which answers earned
// less than their full value.
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

/// Why a request went where it went, or what it was answered with.
struct RoutingDecision {
    Micros at = 0;
    Micros waited = 0;  ///< since the request arrived
    RequestId request = 0;
    std::string service;
    std::string runner;
    const char* reason = "";
};

/// A response that earned less than its full value, with what held it up last.
struct ValueLoss {
    enum class Cause : std::uint8_t { cold_start, slot, memory, coordinator, runner, work, budget, route };
    enum class Outcome : std::uint8_t {
        late,      ///< after its latency target
        rejected,  ///< it has not run
        failed,
    };
    static constexpr std::size_t kCauses = 8;
    static constexpr std::size_t kOutcomes = 3;

    Micros at = 0;
    Micros took = 0;
    std::string service;
    Cause cause = Cause::work;
    Outcome outcome = Outcome::late;
};

/// The words that operators see, in the log and in explain's answers.
const char* name_of(ValueLoss::Cause cause);
const char* name_of(ValueLoss::Outcome outcome);

class RequestStatistics {
  public:
    /// So many decisions, and losses, are kept: the oldest go first.
    static constexpr std::size_t kMaxKept = 256;

    void record(RoutingDecision decision) { decisions_.add(std::move(decision)); }
    void record(const ValueLoss& loss);

    const BoundedHistory<RoutingDecision>& decisions() const { return decisions_; }
    /// Since the process began.
    std::uint64_t count(ValueLoss::Cause cause, ValueLoss::Outcome outcome) const {
        return loss_counts_[static_cast<std::size_t>(cause)][static_cast<std::size_t>(outcome)];
    }
    /// The losses since the last call, kMaxKept at most.
    std::vector<ValueLoss> take_new_losses() { return std::exchange(new_losses_, {}); }

  private:
    BoundedHistory<RoutingDecision> decisions_{kMaxKept};
    std::array<std::array<std::uint64_t, ValueLoss::kOutcomes>, ValueLoss::kCauses> loss_counts_{};
    std::vector<ValueLoss> new_losses_;
};

}  // namespace gannethold::cluster
