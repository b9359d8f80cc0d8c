// When to connect to the addresses of runners that are starting, so as to see when they take connections.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "types.hpp"

namespace gannethold::cluster {

/// No I/O and no clock. An address is probed again and again until it takes a connection or expires.
class ProbeSchedule {
  public:
    /// Without effect for an address that is being probed.
    void add(Micros now, const std::string& address);
    /// The address took a connection: it is not probed any more. False: it was not being probed.
    bool on_connected(const std::string& address);
    /// Returns whether the address is to be probed again.
    bool on_connect_failed(Micros now, const std::string& address);

    struct Due {
        std::vector<std::string> probed;  ///< a connection is to be opened to each; it is taken for under way
        std::vector<std::string> expired;  ///< given up, and not probed any more
    };
    Due take_due(Micros now);
    /// When take_due() has something next; nothing: nothing is scheduled.
    std::optional<Micros> next() const;

  private:
    static constexpr Micros kInterval = 40'000;
    static constexpr Micros kMaxDuration = 12'000'000;

    struct Probe {
        Micros since = 0;
        Micros next = 0;
        bool in_flight = false;
    };
    std::map<std::string, Probe> probes_;  // by address
};

}  // namespace gannethold::cluster
