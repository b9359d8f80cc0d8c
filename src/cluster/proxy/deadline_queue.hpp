// The deadlines of all pending requests, earliest first.
#pragma once

#include <map>
#include <optional>

#include "cluster/proxy/actions.hpp"
#include "types.hpp"

namespace gannethold::cluster {

class DeadlineQueue {
  public:
    void add(Micros at, RequestId request) { requests_.emplace(at, request); }

    /// Removes what add() was called with; without effect where it is not there.
    void remove(Micros at, RequestId request) {
        const auto [first, last] = requests_.equal_range(at);
        for (auto entry = first; entry != last; ++entry)
            if (entry->second == request) {
                requests_.erase(entry);
                return;
            }
    }

    /// The request whose deadline is the earliest and has passed; it stays until it is removed.
    std::optional<RequestId> expired(Micros now) const {
        if (requests_.empty() || requests_.begin()->first > now) return std::nullopt;
        return requests_.begin()->second;
    }

    /// The earliest deadline; nothing where there is none.
    std::optional<Micros> next() const {
        if (requests_.empty()) return std::nullopt;
        return requests_.begin()->first;
    }

  private:
    std::multimap<Micros, RequestId> requests_;
};

}  // namespace gannethold::cluster
