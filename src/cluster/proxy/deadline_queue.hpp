// The deadlines of all pending requests.
#pragma once

#include <map>
#include <optional>

#include "cluster/proxy/actions.hpp"
#include "types.hpp"

namespace gannethold::cluster {

/// Holds requests ordered by deadline, earliest first.
class DeadlineQueue {
  public:
    void add(Micros deadline, RequestId request) { requests_.emplace(deadline, request); }

    /// Removes the entry that add() made with the same arguments. No effect if there is no such entry.
    void remove(Micros deadline, RequestId request) {
        const auto [first, last] = requests_.equal_range(deadline);
        for (auto entry = first; entry != last; ++entry)
            if (entry->second == request) {
                requests_.erase(entry);
                return;
            }
    }

    /// Returns the request with the earliest deadline if that deadline has passed. Does not remove the entry.
    std::optional<RequestId> expired(Micros now) const {
        if (requests_.empty() || requests_.begin()->first > now) return std::nullopt;
        return requests_.begin()->second;
    }

    /// Returns the earliest deadline; nullopt if the queue is empty.
    std::optional<Micros> next() const {
        if (requests_.empty()) return std::nullopt;
        return requests_.begin()->first;
    }

  private:
    std::multimap<Micros, RequestId> requests_;
};

}  // namespace gannethold::cluster
