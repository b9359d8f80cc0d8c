// The sequence of a graceful shutdown. All open requests are answered, and the responses are written, before
// the event loop stops.
//
// No I/O and no clock: the caller passes the time and the number of busy connections, and performs the steps
// that next_step() returns.
#pragma once

#include <cstddef>

#include "types.hpp"

namespace gannethold::cluster {

/// The state machine of a graceful shutdown.
class Shutdown {
  public:
    enum class Step {
        none,
        close_idle,      ///< stop accepting connections, and close the idle ones
        answer_pending,  ///< send the final response to every open request
        stop,            ///< stop the event loop
    };

    /// Starts the shutdown. The process is killed `grace_period` after `now`. Later calls have no effect.
    void begin(Micros now, Micros grace_period);
    bool has_begun() const { return has_begun_; }

    /// Returns the time by which every open request must have its final response. Valid after begin().
    Micros response_deadline() const { return response_deadline_; }

    /// Returns the next step to perform. Each step is returned at most once, in the order of Step, except
    /// `stop`. Call it until it returns `none` or `stop`. `busy_connections`: connections on which a request
    /// is being read, waits for its response, or has a response that is not completely written.
    Step next_step(Micros now, std::size_t busy_connections);

  private:
    // The platform probes readiness once a second and redirects new connections after two failed probes.
    static constexpr Micros kAcceptPeriod = 2'600'000;
    // Time to generate and write the last responses. A short grace period uses a fraction of it instead.
    static constexpr Micros kResponseMargin = 400'000;
    static constexpr Micros kStopMargin = 100'000;

    bool has_begun_ = false;
    bool idle_closed_ = false;
    bool answered_ = false;
    Micros close_idle_at_ = 0;
    Micros response_deadline_ = 0;
    Micros stop_deadline_ = 0;
};

}  // namespace gannethold::cluster
