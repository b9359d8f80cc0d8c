#include "cluster/proxy/local_queue.hpp"

#include <algorithm>
#include <utility>

namespace gannethold::cluster {

std::size_t LateTurns::next(const std::vector<QueuedRequest>& queue, int late_turn) const {
    const bool any_late =
        std::any_of(queue.begin(), queue.end(), [](const QueuedRequest& one) { return one.urgency.late; });
    const bool turn = served_since_late_ + 1 >= late_turn && any_late;
    const auto key = [turn](const QueuedRequest& one) {
        return std::pair(urgency_key(one.urgency, turn), one.id);
    };
    const auto first =
        std::min_element(queue.begin(), queue.end(),
                         [&](const QueuedRequest& a, const QueuedRequest& b) { return key(a) < key(b); });
    return static_cast<std::size_t>(first - queue.begin());
}

void LateTurns::on_served(const QueuedRequest& request) {
    served_since_late_ = request.urgency.late ? 0 : served_since_late_ + 1;
}

}  // namespace gannethold::cluster
