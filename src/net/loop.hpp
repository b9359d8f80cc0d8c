// The one thread's loop, its clock, timers and signals, and the pool that all connections share.
#pragma once

#include <event2/event.h>

#include <functional>
#include <memory>

#include "net/block_pool.hpp"
#include "types.hpp"

namespace gannethold::net {

class Loop {
  public:
    explicit Loop(std::size_t most_blocks);

    // Turns until stop(); what one turn of the loop brought is a batch, and after_turn is called for it.
    void run(const std::function<void()>& after_turn);
    bool turn(bool wait);  // false: nothing is left to wait for
    void stop() { stopping_ = true; }
    bool stopping() const { return stopping_; }

    static Micros now();  // monotonic
    event_base* base() const { return base_.get(); }
    BlockPool& blocks() { return blocks_; }

  private:
    BlockPool blocks_;
    std::unique_ptr<event_base, decltype(&event_base_free)> base_;
    bool stopping_ = false;
};

using EventHandle = std::unique_ptr<event, decltype(&event_free)>;

class Timer {
  public:
    Timer(Loop& loop, std::function<void()> due);
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;

    void set(Micros at);
    void cancel();

  private:
    std::function<void()> due_;
    EventHandle event_;
};

class Signal {
  public:
    Signal(Loop& loop, int number, std::function<void()> came);
    Signal(const Signal&) = delete;
    Signal& operator=(const Signal&) = delete;

  private:
    std::function<void()> came_;
    EventHandle event_;
};

}  // namespace gannethold::net
