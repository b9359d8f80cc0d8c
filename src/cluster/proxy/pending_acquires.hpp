// The acquire requests that the coordinator has not answered yet.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "cluster/proxy/actions.hpp"

namespace gannethold::cluster {

/// Maps the id of each unanswered AcquireRequest to its client request. 0 is not an id. Ids are not reused in
/// the next session, so that a reply from an earlier session matches no request.
class PendingAcquires {
  public:
    /// Returns the id of a new AcquireRequest.
    std::uint32_t add(RequestId request) {
        if (++last_id_ == 0) ++last_id_;
        requests_[last_id_] = request;
        return last_id_;
    }
    /// Returns the request that the slot was acquired for; nullopt if the id is not pending.
    std::optional<RequestId> find(std::uint32_t id) const {
        const auto found = requests_.find(id);
        if (found == requests_.end()) return std::nullopt;
        return found->second;
    }
    void remove(std::uint32_t id) { requests_.erase(id); }
    /// Discards all ids. Called when the session with the coordinator starts or ends.
    void clear() { requests_.clear(); }

  private:
    std::unordered_map<std::uint32_t, RequestId> requests_;
    std::uint32_t last_id_ = 0;
};

}  // namespace gannethold::cluster
