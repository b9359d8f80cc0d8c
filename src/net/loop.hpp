// The event loop of a single-threaded process, with its clock, timers and signals, and the block pool that
// all connections share.
#pragma once

#include <event2/event.h>

#include <functional>
#include <memory>

#include "net/block_pool.hpp"
#include "types.hpp"

namespace gannethold::net {

class Loop {
  public:
    explicit Loop(std::size_t max_blocks);

    // Runs until stop(). after_iteration is called after each iteration, for the batch of events it handled.
    void run(const std::function<void()>& after_iteration);
    bool run_once(bool wait);  // false: no event is registered
    void stop() { is_stopping_ = true; }
    bool is_stopping() const { return is_stopping_; }

    static Micros now();  // monotonic
    event_base* base() const { return base_.get(); }
    BlockPool& block_pool() { return block_pool_; }

  private:
    BlockPool block_pool_;
    std::unique_ptr<event_base, decltype(&event_base_free)> base_;
    bool is_stopping_ = false;
};

using EventHandle = std::unique_ptr<event, decltype(&event_free)>;

// Calls back once at a point in time on the loop's clock; can be set again.
class Timer {
  public:
    Timer(Loop& loop, std::function<void()> on_due);
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;

    void set(Micros at);
    void cancel();

  private:
    std::function<void()> on_due_;
    EventHandle event_;
};

// Calls back for each signal of that number, from the loop.
class Signal {
  public:
    Signal(Loop& loop, int number, std::function<void()> on_signal);
    Signal(const Signal&) = delete;
    Signal& operator=(const Signal&) = delete;

  private:
    std::function<void()> on_signal_;
    EventHandle event_;
};

}  // namespace gannethold::net
