#include "cluster/proxy/local_queue_scheduler.hpp"

#include <algorithm>
#include <utility>

namespace gannethold::cluster {

std::size_t LocalQueueScheduler::next(const std::vector<QueuedRequest>& queue, int late_turn_interval) const {
    const bool has_late = std::any_of(queue.begin(), queue.end(),
                                      [](const QueuedRequest& request) { return request.urgency.late; });
    const bool is_late_turn = served_since_late_ + 1 >= late_turn_interval && has_late;
    const auto key = [is_late_turn](const QueuedRequest& request) {
        return std::pair(urgency_key(request.urgency, is_late_turn), request.id);
    };
    const auto first =
        std::min_element(queue.begin(), queue.end(),
                         [&](const QueuedRequest& a, const QueuedRequest& b) { return key(a) < key(b); });
    return static_cast<std::size_t>(first - queue.begin());
}

void LocalQueueScheduler::on_served(const QueuedRequest& request) {
    served_since_late_ = request.urgency.late ? 0 : served_since_late_ + 1;
}

}  // namespace gannethold::cluster
