#include "cluster/proxy/retry_state.hpp"

#include "cluster/base/mechanisms.hpp"

namespace gannethold::cluster {
namespace {

bool may_have_run_after(AttemptResult result) {
    return result == AttemptResult::runner_error || result == AttemptResult::outcome_unknown;
}

}  // namespace

void RetryState::on_attempt_completed(AttemptResult result) {
    if (result == AttemptResult::connect_failed) --attempts_;
    if (may_have_run_after(result)) may_have_run_ = true;
}

bool RetryState::may_retry(const Route& route, AttemptResult result, Micros now, Micros deadline) const {
    if (may_have_run_after(result) && !route.is_idempotent) return false;
    if (is_off(Mechanism::second_attempts) && attempts_ > 0) return false;
    return attempts_ < route.max_attempts && now + kMinTimeForRetry < deadline;
}

}  // namespace gannethold::cluster
