// The steps by which a process that serves clients ends: what is open is answered and written before the loop
// stops.
//
// No I/O and no clock: the caller passes the time and how many connections are unfinished, and does what
// step() says.
#pragma once

#include <cstddef>

#include "types.hpp"

namespace gannethold::cluster {

class Shutdown {
  public:
    enum class Step {
        none,
        close_idle,   ///< accept no more connections, and close those on which nothing is under way
        answer_open,  ///< give every open request its final answer
        stop,         ///< end the loop
    };

    /// Starts the shutdown. The process is killed `grace_period` after `now`. Later calls change nothing.
    void begin(Micros now, Micros grace_period);
    bool begun() const { return begun_; }

    /// By when every open request has its final answer. Valid once begun.
    Micros answer_by() const { return answer_by_; }

    /// The next thing to do, each at most once and in the order of Step. Call it until it says `none`.
    /// `unfinished`: connections on which a request is read, waits for its answer, or has an answer not yet
    /// written.
    Step step(Micros now, std::size_t unfinished);

  private:
    // Readiness probes come each second and two must miss before new connections go elsewhere.
    static constexpr Micros kAcceptFor = 2'600'000;
    // For the last answers to be made and written; shares of a short grace period.
    static constexpr Micros kAnswerMargin = 400'000;
    static constexpr Micros kStopMargin = 100'000;

    bool begun_ = false;
    bool idle_closed_ = false;
    bool answered_ = false;
    Micros close_idle_at_ = 0;
    Micros answer_by_ = 0;
    Micros stop_by_ = 0;
};

}  // namespace gannethold::cluster
