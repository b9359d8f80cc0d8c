// The order in which a proxy serves its own waiting requests while there is no coordinator: the coordinator's
// (slots/urgency.hpp), as far as this proxy's requests go.
#pragma once

#include <cstddef>
#include <vector>

#include "cluster/proxy/actions.hpp"
#include "cluster/slots/urgency.hpp"

namespace gannethold::cluster {

struct QueuedRequest {
    RequestId id = 0;
    Urgency urgency;
};

/// Which request of one function goes next. After a number of requests in time one that is late gets its
/// turn, so that those are not starved.
class LateTurns {
  public:
    /// Index of the one that goes first. REQUIRES: queue is not empty. late_turn: of so many slots one goes
    /// to a late request.
    std::size_t next(const std::vector<QueuedRequest>& queue, int late_turn) const;
    void on_served(const QueuedRequest& request);

  private:
    int served_since_late_ = 0;
};

}  // namespace gannethold::cluster
