// The slots that this proxy has asked the coordinator for and has no reply about yet.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "cluster/proxy/actions.hpp"

namespace gannethold::cluster {

/// An id names one AcquireRequest; 0 names none. Ids go on over sessions, so that a reply of an earlier
/// session finds nothing.
class PendingAcquires {
  public:
    /// The id under which a slot is asked for now.
    std::uint32_t add(RequestId request) {
        if (++last_id_ == 0) ++last_id_;
        requests_[last_id_] = request;
        return last_id_;
    }
    /// Whose slot was asked for under that id; nothing once it is removed.
    std::optional<RequestId> find(std::uint32_t id) const {
        const auto at = requests_.find(id);
        if (at == requests_.end()) return std::nullopt;
        return at->second;
    }
    void remove(std::uint32_t id) { requests_.erase(id); }
    /// The session with the coordinator has begun anew or is lost.
    void clear() { requests_.clear(); }

  private:
    std::unordered_map<std::uint32_t, RequestId> requests_;
    std::uint32_t last_id_ = 0;
};

}  // namespace gannethold::cluster
