// The schedule of probes, which detect when a starting runner accepts connections.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "types.hpp"

namespace gannethold::cluster {

/// Probes an address periodically until it accepts a connection or the probe expires. No I/O and no clock.
class ProbeSchedule {
  public:
    /// No effect if the address is being probed already.
    void add(Micros now, const std::string& address);
    /// Ends the probe of an address that accepted a connection. Returns false if it was not being probed.
    bool on_connected(const std::string& address);
    /// Schedules the next attempt. Returns false if the address is not being probed.
    bool on_connect_failed(Micros now, const std::string& address);

    struct Due {
        std::vector<std::string> probed;   ///< to connect to now; marked as in flight
        std::vector<std::string> expired;  ///< no longer probed
    };
    /// Returns the probes that are due or have expired.
    Due take_due(Micros now);
    /// Returns when the next probe is due; nullopt if none is scheduled.
    std::optional<Micros> next() const;

  private:
    static constexpr Micros kInterval = 40'000;
    static constexpr Micros kMaxDuration = 12'000'000;

    struct Probe {
        Micros started_at = 0;
        Micros next_at = 0;
        bool in_flight = false;
    };
    std::map<std::string, Probe> probes_;  // by address
};

}  // namespace gannethold::cluster
