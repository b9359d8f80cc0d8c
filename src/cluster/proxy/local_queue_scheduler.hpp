// The order in which a proxy serves its queued requests while there is no coordinator. It is the
// coordinator's order (slots/urgency.hpp), applied to the requests of this proxy only.
#pragma once

#include <cstddef>
#include <vector>

#include "cluster/proxy/actions.hpp"
#include "cluster/slots/urgency.hpp"

namespace gannethold::cluster {

/// A request that waits for a slot of this proxy's share.
struct QueuedRequest {
    RequestId id = 0;
    Urgency urgency;
};

/// Selects the request of one function to serve next. Requests that can still meet their latency target go
/// first. One in every `late_turn_interval` requests is a late one, so that late requests do not starve.
class LocalQueueScheduler {
  public:
    /// Returns the index of the request to serve next. REQUIRES: queue is not empty.
    std::size_t next(const std::vector<QueuedRequest>& queue, int late_turn_interval) const;
    /// Records that the request was served.
    void on_served(const QueuedRequest& request);

  private:
    int served_since_late_ = 0;
};

}  // namespace gannethold::cluster
