#include "net/loop.hpp"

#include <algorithm>
#include <chrono>
#include <stdexcept>

namespace gannethold::net {
namespace {

event_base* precise_base() {
    // Against timers that fire up to a millisecond late: the module's wakes are a few milliseconds apart.
    event_config* const wish = event_config_new();
    event_config_set_flag(wish, EVENT_BASE_FLAG_PRECISE_TIMER);
    event_base* const base = event_base_new_with_config(wish);
    event_config_free(wish);
    if (!base) throw std::runtime_error("no event loop on this system");
    return base;
}

void call(evutil_socket_t, short, void* what) { (*static_cast<std::function<void()>*>(what))(); }

}  // namespace

Loop::Loop(std::size_t most_blocks) : blocks_(most_blocks), base_(precise_base(), &event_base_free) {}

void Loop::run(const std::function<void()>& after_turn) {
    while (!stopping_ && turn(true)) after_turn();
}

bool Loop::turn(bool wait) { return event_base_loop(base_.get(), wait ? EVLOOP_ONCE : EVLOOP_NONBLOCK) == 0; }

Micros Loop::now() {
    using namespace std::chrono;
    return duration_cast<microseconds>(steady_clock::now().time_since_epoch()).count();
}

Timer::Timer(Loop& loop, std::function<void()> due)
    : due_(std::move(due)), event_(evtimer_new(loop.base(), &call, &due_), &event_free) {}

void Timer::set(Micros at) {
    const Micros wait = std::max<Micros>(0, at - Loop::now());
    const timeval span{static_cast<time_t>(wait / 1'000'000), static_cast<suseconds_t>(wait % 1'000'000)};
    evtimer_add(event_.get(), &span);
}

void Timer::cancel() { evtimer_del(event_.get()); }

Signal::Signal(Loop& loop, int number, std::function<void()> came)
    : came_(std::move(came)), event_(evsignal_new(loop.base(), number, &call, &came_), &event_free) {
    evsignal_add(event_.get(), nullptr);
}

}  // namespace gannethold::net
