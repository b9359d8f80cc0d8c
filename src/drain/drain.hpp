// The drain state machine, shared by operators' drain requests and the graceful shutdown after a signal. From
// the time, the requests and the remaining work it computes what the rest of the program should do; it does
// nothing itself. No I/O, no clock of its own.
//
//   serving ──drain──▶ draining ──deadline or all answered──▶ drained
//      ▲                  │                                      │
//      └─────undrain──────┴──────────────────────────────────────┘
//   any of them ──shut_down──▶ shutting_down ──all answered or deadline──▶ stopped
//
// Each accepted request has a ticket, which must be quoted to change or cancel it. If two operators request a
// drain at the same time, the second request is rejected with the name of the first operator.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "types.hpp"

namespace gannethold::drain {

enum class Phase { serving, draining, drained, shutting_down, stopped };
const char* name_of(Phase phase);

// How fast clients are moved to other dispatchers.
struct DrainTiming {
    // For this long after /healthz starts to return 503, the front may still send clients here.
    Micros front_notice_delay = 2'000'000;
    // Idle connections are closed gradually over this period, so that clients do not all reconnect at once.
    Micros closing_period = 2'000'000;
    // New tasks are rejected from this long after the request; 0: only from the deadline on.
    Micros accept_period = 0;
};

// Timing of drains, and the bound on their deadlines.
struct DrainSettings : DrainTiming {
    // For drains requested through the admin port: the front polls often, and its caller expects an empty
    // dispatcher soon. Half of the time by which nothing may remain is for closing connections, so that
    // requests that cross a close are answered in the other half.
    DrainTiming short_notice{400'000, 800'000, 1'700'000};
    // Requests with a later deadline are rejected: a forgotten drain would idle a dispatcher for ever.
    Micros max_deadline_distance = 24 * 3'600'000'000LL;
};

// The work that remains, as counted by the caller of Drain::evaluate().
struct RemainingWork {
    std::size_t tasks = 0;  // accepted and not yet answered
    // Client connections on which a request is being read or processed, or a response is being written.
    std::size_t busy_connections = 0;
};

// What the program should do now.
struct DrainDirective {
    bool is_healthy = true;              // the result of /healthz
    bool rejects_new_tasks = false;      // new tasks are rejected before they are accepted
    bool closes_after_response = false;  // each response closes its connection
    // The fraction of the idle connections at the start of the drain that may still be open.
    double idle_fraction_to_keep = 1;
    bool answers_waiting_tasks = false;  // all waiting tasks, now; true once per deadline
    bool should_exit = false;
    Micros next_evaluation_at = 0;  // at the latest; 0: nothing changes with time alone
};

struct DrainResult {
    bool accepted = false;
    std::uint64_t ticket = 0;  // of the drain in force
    std::string reason;        // of a rejection, with the operator of the drain in force
};

class Drain {
  public:
    explicit Drain(DrainSettings settings) : settings_(settings), timing_(settings) {}

    // Requests a drain, or changes the deadline of the drain in force. `deadline`: by when all tasks must be
    // answered; a past one means immediately. `ticket`: of the drain to change, 0 for a new one. `by`: the
    // operator, as reported to others whose requests are rejected. `timing`: nullptr for the default; a
    // changed drain keeps its timing.
    DrainResult request(Micros now, Micros deadline, std::uint64_t ticket, const std::string& by,
                        const DrainTiming* timing = nullptr);
    // Cancels the drain in force. Without a ticket, only the operator who requested it may do so.
    DrainResult cancel(Micros now, std::uint64_t ticket, const std::string& by);
    // Starts the graceful shutdown after a signal, to be over by `deadline`. No connection is closed before
    // `closing_from`; from then on idle connections are closed gradually over `closing_period`.
    void shut_down(Micros now, Micros deadline, Micros closing_from, Micros closing_period = 0);

    DrainDirective evaluate(Micros now, const RemainingWork& work);

    Phase phase() const { return phase_; }
    const DrainSettings& settings() const { return settings_; }
    std::optional<Micros> deadline() const;  // of the drain or shutdown in force
    Micros changed_at() const { return changed_at_; }
    std::uint64_t ticket() const { return is_requested_ ? ticket_ : 0; }
    const std::string& requested_by() const { return requested_by_; }
    bool is_shutting_down() const { return phase_ == Phase::shutting_down || phase_ == Phase::stopped; }

  private:
    DrainResult reject_other_request() const;
    Micros closing_from() const;

    DrainSettings settings_;
    DrainTiming timing_;  // of the drain in force
    Phase phase_ = Phase::serving;
    bool is_requested_ = false, has_answered_waiting_tasks_ = false;
    std::uint64_t ticket_ = 0;
    std::string requested_by_;
    Micros changed_at_ = 0, deadline_ = 0, shutdown_closing_from_ = 0, shutdown_closing_period_ = 0;
};

}  // namespace gannethold::drain
