#include "net/loop.hpp"

#include <algorithm>
#include <chrono>
#include <stdexcept>

namespace gannethold::net {
namespace {

event_base* precise_base() {
    // Without this flag timers fire up to a millisecond late; the dispatcher's are only a few ms apart.
    event_config* const config = event_config_new();
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
    event_base* const base = event_base_new_with_config(config);
    event_config_free(config);
    if (!base) throw std::runtime_error("cannot create an event loop on this system");
    return base;
}

void call(evutil_socket_t, short, void* callback) { (*static_cast<std::function<void()>*>(callback))(); }

}  // namespace

Loop::Loop(std::size_t max_blocks) : block_pool_(max_blocks), base_(precise_base(), &event_base_free) {}

void Loop::run(const std::function<void()>& after_iteration) {
    while (!is_stopping_ && run_once(true)) after_iteration();
}

bool Loop::run_once(bool wait) {
    return event_base_loop(base_.get(), wait ? EVLOOP_ONCE : EVLOOP_NONBLOCK) == 0;
}

Micros Loop::now() {
    using namespace std::chrono;
    return duration_cast<microseconds>(steady_clock::now().time_since_epoch()).count();
}

Timer::Timer(Loop& loop, std::function<void()> on_due)
    : on_due_(std::move(on_due)), event_(evtimer_new(loop.base(), &call, &on_due_), &event_free) {}

void Timer::set(Micros at) {
    const Micros wait = std::max<Micros>(0, at - Loop::now());
    const timeval span{static_cast<time_t>(wait / 1'000'000), static_cast<suseconds_t>(wait % 1'000'000)};
    evtimer_add(event_.get(), &span);
}

void Timer::cancel() { evtimer_del(event_.get()); }

Signal::Signal(Loop& loop, int number, std::function<void()> on_signal)
    : on_signal_(std::move(on_signal)),
      event_(evsignal_new(loop.base(), number, &call, &on_signal_), &event_free) {
    evsignal_add(event_.get(), nullptr);
}

}  // namespace gannethold::net
