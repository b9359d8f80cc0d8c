#include "cluster/proxy/shutdown.hpp"

#include <algorithm>

namespace gannethold::cluster {

void Shutdown::begin(Micros now, Micros grace_period) {
    if (has_begun_) return;
    has_begun_ = true;
    const Micros response_margin = std::min(kResponseMargin, grace_period / 4);
    const Micros stop_margin = std::min(kStopMargin, grace_period / 16);
    response_deadline_ = now + grace_period - response_margin;
    stop_deadline_ = now + grace_period - stop_margin;
    close_idle_at_ = now + std::min(kAcceptPeriod, grace_period / 2);
}

Shutdown::Step Shutdown::next_step(Micros now, std::size_t busy_connections) {
    if (!has_begun_) return Step::none;
    if (!idle_closed_ && now >= close_idle_at_) {
        idle_closed_ = true;
        return Step::close_idle;
    }
    if (!answered_ && now >= response_deadline_) {
        answered_ = true;
        return Step::answer_pending;
    }
    const bool is_done = idle_closed_ && busy_connections == 0;
    if (is_done || now >= stop_deadline_) return Step::stop;
    return Step::none;
}

}  // namespace gannethold::cluster
