#include "cluster/proxy/shutdown.hpp"

#include <algorithm>

namespace gannethold::cluster {

void Shutdown::begin(Micros now, Micros grace_period) {
    if (begun_) return;
    begun_ = true;
    const Micros answer_margin = std::min(kAnswerMargin, grace_period / 4);
    const Micros stop_margin = std::min(kStopMargin, grace_period / 16);
    answer_by_ = now + grace_period - answer_margin;
    stop_by_ = now + grace_period - stop_margin;
    close_idle_at_ = now + std::min(kAcceptFor, grace_period / 2);
}

Shutdown::Step Shutdown::step(Micros now, std::size_t unfinished) {
    if (!begun_) return Step::none;
    if (!idle_closed_ && now >= close_idle_at_) {
        idle_closed_ = true;
        return Step::close_idle;
    }
    if (!answered_ && now >= answer_by_) {
        answered_ = true;
        return Step::answer_open;
    }
    const bool done = idle_closed_ && unfinished == 0;
    if (done || now >= stop_by_) return Step::stop;
    return Step::none;
}

}  // namespace gannethold::cluster
