#include "event_queue.hpp"

namespace gannethold::cluster::simulation {

void EventQueue::at(Micros when, Action action) {
    scheduled_.push({std::max(when, now_), ++last_sequence_, std::move(action)});
}

void EventQueue::run_until(Micros until) {
    while (!scheduled_.empty() && scheduled_.top().at <= until) {
        const ScheduledEvent next = scheduled_.top();
        scheduled_.pop();
        now_ = std::max(now_, next.at);
        next.action();
    }
    now_ = std::max(now_, until);
}

}  // namespace gannethold::cluster::simulation
