#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "cluster/placement/platform_requests.hpp"
#include "types.hpp"

namespace gannethold::cluster {

// A start that has been planned and whose result is not known yet.
struct PendingStart {
    StartRunner start;
    std::int64_t memory_mb = 0;
    Micros next_attempt_at = 0;
    bool in_flight = false;  // a request for it has been sent and not answered
    int attempts = 0;
};

// Pending starts, by nonce and by function.
class PendingStarts {
  public:
    void add(PendingStart start);
    void remove(const std::string& nonce);
    // nullptr: there is no such start.
    PendingStart* find(const std::string& nonce);
    std::size_t count(const std::string& service) const;
    // The workers on which runners of the function will be started, one entry per start.
    std::vector<std::string> workers_of(const std::string& service) const;
    // All pending starts, by nonce.
    std::map<std::string, PendingStart>& all() { return by_nonce_; }
    const std::map<std::string, PendingStart>& all() const { return by_nonce_; }

  private:
    std::map<std::string, PendingStart> by_nonce_;
    std::unordered_map<std::string, std::vector<std::string>> nonces_;  // by function; never empty
};

}  // namespace gannethold::cluster
