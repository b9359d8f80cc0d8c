// What operators' programs are answered at the window. Orders go to the same drain as those of the control
// socket.
#include <algorithm>

#include "dispatcher/dispatcher.hpp"

namespace gannethold::dispatcher {
namespace {

const std::string kCaller = "a call at the window";

}  // namespace

figures::Present Dispatcher::present() const {
    const Micros now = net::Loop::now();
    std::set<RunnerId> avoided;
    for (const RunnerView& r : choice_.runners())
        if (r.ready && (now < r.aside_until || r.doubted)) avoided.insert(r.runner);
    const auto any = [](RunnerId) { return true; };
    return {unanswered(), book_.count_listed(any),
            book_.count_listed([&](RunnerId r) { return avoided.contains(r); })};
}

window::Reply Dispatcher::heed(window::Call call) {
    const Micros now = net::Loop::now();
    switch (call) {
        case window::Call::ready: {
            const bool takes = ready() && healthy_;
            return {takes ? 200 : 503, takes ? "ready\n" : "not ready\n"};
        }
        case window::Call::figures:
            return {200, window::spell(tally_, present()), "text/plain; version=0.0.4; charset=utf-8"};
        case window::Call::send_away: {
            // Whoever ordered it before, it is being emptied: that is all that was asked for.
            if (drain_.phase() != drain::Phase::serving)
                return {200, "out of service, " + drain_.by() + "\n"};
            const drain::Ruling ruling =
                drain_.order(now, now + drain_.manners().longest, 0, kCaller, &drain_.manners().brisk);
            if (!ruling.granted) return {409, ruling.why + "\n"};
            log_.info(now, "window: out of service");
            look_at_drain();
            return {200, "out of service\n"};
        }
        case window::Call::take_again: {
            if (drain_.phase() == drain::Phase::serving) return {200, "in service\n"};
            const drain::Ruling ruling = drain_.undo(now, 0, kCaller);
            if (!ruling.granted) return {409, ruling.why + "\n"};
            log_.info(now, "window: in service again");
            look_at_drain();
            return {200, "in service\n"};
        }
    }
    return {500, ""};
}

}  // namespace gannethold::dispatcher
