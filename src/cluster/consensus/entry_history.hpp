// Keeps the bodies of the newest entries, so that the leader can send the head to a member as a delta to an
// entry that the member has stored.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "cluster/wire/messages.hpp"

namespace gannethold::cluster {

class EntryHistory {
  public:
    // Adds a new head. Keeps the newest kMaxBodies bodies and those for which is_needed returns true.
    void add(const LogEntry& head, const std::function<bool(const LogPosition&)>& is_needed);
    void clear() { bodies_.clear(); }
    bool contains(const LogPosition& position) const { return bodies_.contains(position); }
    // The position of the entry before the head; nullopt if its body is not kept.
    std::optional<LogPosition> previous() const;
    // The head encoded as a delta to the base, or in full if the base is not kept. Encodings are cached.
    std::shared_ptr<const std::string> payload(const LogEntry& head, const LogPosition& base);

  private:
    std::map<LogPosition, std::string> bodies_;
    std::map<LogPosition, std::shared_ptr<const std::string>> payloads_;  // encodings of the head, by base
};

}  // namespace gannethold::cluster
