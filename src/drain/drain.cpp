#include "drain/drain.hpp"

#include <algorithm>

namespace gannethold::drain {
namespace {

constexpr Micros kFinalWriteTime = 200'000;  // for the final answers to reach their clients
constexpr Micros kClosingInterval = 20'000;  // between evaluations while connections close

}  // namespace

const char* name_of(Phase phase) {
    switch (phase) {
        case Phase::serving:
            return "serving";
        case Phase::draining:
            return "draining";
        case Phase::drained:
            return "drained";
        case Phase::shutting_down:
            return "leaving";
        case Phase::stopped:
            return "gone";
    }
    return "unknown";
}

DrainResult Drain::reject_other_request() const {
    return {false, ticket_, "the order of " + requested_by_ + " stands, ticket " + std::to_string(ticket_)};
}

DrainResult Drain::request(Micros now, Micros deadline, std::uint64_t ticket, const std::string& by,
                           const DrainTiming* timing) {
    if (is_shutting_down()) return {false, 0, "the dispatcher is leaving for good"};
    if (deadline > now + settings_.max_deadline_distance)
        return {false, ticket_, "the deadline is more than a day away"};
    if (is_requested_ && ticket != ticket_) return reject_other_request();
    if (!is_requested_ && ticket != 0) return {false, 0, "there is no order with that ticket"};
    if (!is_requested_) {
        is_requested_ = true;
        ++ticket_;
        changed_at_ = now;
        timing_ = timing ? *timing : settings_;
        phase_ = Phase::draining;
    }
    requested_by_ = by;
    // After a move to a later deadline, tasks that arrived meanwhile may wait until it; answers already given
    // are final.
    has_answered_waiting_tasks_ = false;
    deadline_ = std::max(deadline, now);
    if (phase_ == Phase::drained) phase_ = Phase::draining;
    return {true, ticket_, ""};
}

DrainResult Drain::cancel(Micros now, std::uint64_t ticket, const std::string& by) {
    if (is_shutting_down()) return {false, 0, "the dispatcher is leaving for good"};
    if (!is_requested_) return {false, 0, "there is nothing to undo"};
    if (ticket != 0 ? ticket != ticket_ : by != requested_by_) return reject_other_request();
    is_requested_ = has_answered_waiting_tasks_ = false;
    phase_ = Phase::serving;
    changed_at_ = now;
    return {true, ticket_, ""};
}

void Drain::shut_down(Micros now, Micros deadline, Micros closing_from, Micros closing_period) {
    if (is_shutting_down()) return;
    // A drain already in force may have given the front its time to notice.
    const bool has_front_noticed = is_requested_ && now >= this->closing_from();
    phase_ = Phase::shutting_down;
    // A drain deadline that passed before the signal stays in force: later tasks were rejected.
    deadline_ = is_requested_ ? std::min(deadline_, deadline) : deadline;
    is_requested_ = false;
    changed_at_ = now;
    shutdown_closing_period_ = closing_period;
    shutdown_closing_from_ = has_front_noticed ? now : closing_from;
    has_answered_waiting_tasks_ = false;
}

std::optional<Micros> Drain::deadline() const {
    if (phase_ == Phase::serving) return std::nullopt;
    return deadline_;
}

// Until the front has noticed the drain, closing a connection would only make its client reconnect here. With
// a near deadline, the front gets half of the time to notice.
Micros Drain::closing_from() const {
    if (phase_ == Phase::shutting_down) return shutdown_closing_from_;
    return changed_at_ +
           std::min(timing_.front_notice_delay, std::max<Micros>(0, deadline_ - changed_at_) / 2);
}

DrainDirective Drain::evaluate(Micros now, const RemainingWork& work) {
    DrainDirective directive;
    if (phase_ == Phase::serving) return directive;
    // During a shutdown the dispatcher reports healthy until it starts to close connections; the front then
    // also learns of it from refused connections once the process has exited.
    const Micros from = closing_from();
    const bool is_closing = now >= from;
    directive.is_healthy = phase_ == Phase::shutting_down ? !is_closing : false;
    directive.closes_after_response = is_closing;
    if (is_closing) {
        const Micros closing_period =
            phase_ == Phase::shutting_down
                ? shutdown_closing_period_
                : std::min(timing_.closing_period, std::max<Micros>(0, deadline_ - from) / 2);
        directive.idle_fraction_to_keep =
            closing_period > 0
                ? std::max(0.0, 1 - static_cast<double>(now - from) / static_cast<double>(closing_period))
                : 0;
    }
    const bool is_past_deadline = now >= deadline_;
    // A task that arrives after the deadline could not be answered in time.
    const Micros accepts_until = phase_ != Phase::shutting_down && timing_.accept_period > 0
                                     ? changed_at_ + timing_.accept_period
                                     : deadline_;
    directive.rejects_new_tasks = is_past_deadline || now >= accepts_until;
    if (is_past_deadline && !has_answered_waiting_tasks_)
        directive.answers_waiting_tasks = has_answered_waiting_tasks_ = true;
    if (phase_ == Phase::shutting_down) {
        directive.should_exit = (is_closing && directive.idle_fraction_to_keep <= 0 && work.tasks == 0 &&
                                 work.busy_connections == 0) ||
                                now >= std::max(deadline_, changed_at_) + kFinalWriteTime;
        if (directive.should_exit) phase_ = Phase::stopped;
    } else {
        // Without remaining work it is drained before the deadline too, until a new task arrives. Once it is
        // drained, busy connections alone (health checks by a front) do not make it drain again.
        const bool is_drained = work.tasks == 0 && (work.busy_connections == 0 || phase_ == Phase::drained);
        phase_ = is_drained && (is_past_deadline || (is_closing && directive.idle_fraction_to_keep <= 0))
                     ? Phase::drained
                     : Phase::draining;
    }
    const Micros next = !is_closing ? from
                        : directive.idle_fraction_to_keep > 0 || phase_ == Phase::shutting_down
                            ? now + kClosingInterval
                        : now < accepts_until ? accepts_until
                        : !is_past_deadline   ? deadline_
                                              : 0;
    directive.next_evaluation_at =
        next > 0 && !is_past_deadline
            ? std::min({next, deadline_, accepts_until > now ? accepts_until : deadline_})
            : next;
    return directive;
}

}  // namespace gannethold::drain
