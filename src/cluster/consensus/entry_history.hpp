// The bodies of the newest entries, and the head encoded as the difference to each of them: what the leader
// sends to a member that has stored that entry.
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
    // A new head. Bodies beyond the newest few are dropped, but not those that is_needed.
    void add(const LogEntry& head, const std::function<bool(const LogPosition&)>& is_needed);
    void clear() { bodies_.clear(); }
    bool contains(const LogPosition& position) const { return bodies_.contains(position); }
    // The entry before the head; nullopt: not held.
    std::optional<LogPosition> previous() const;
    // The head as the difference to that base, complete where the base is not held. Each is encoded once.
    std::shared_ptr<const std::string> payload(const LogEntry& head, const LogPosition& base);

  private:
    std::map<LogPosition, std::string> bodies_;
    std::map<LogPosition, std::shared_ptr<const std::string>> payloads_;  // of the head, by base
};

}  // namespace gannethold::cluster
