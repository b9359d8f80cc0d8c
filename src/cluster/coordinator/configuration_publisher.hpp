// The distribution of committed configurations to proxies. Each proxy receives the newest version as a
// difference to the version that it has, one update at a time.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "cluster/wire/messages.hpp"

namespace gannethold::cluster {

/// The configuration versions of one proxy.
struct ProxyConfiguration {
    Number acknowledged = 0;  // the last version that the proxy acknowledged; 0: none
    Number in_flight = 0;     // the version that was sent and not acknowledged yet; 0: none
};

/// Makes the configuration updates for proxies. No I/O and no clock.
class ConfigurationPublisher {
  public:
    /// REQUIRES: version > newest().
    void publish(Number version, std::string body);
    /// Returns the newest version; 0 if none was published.
    Number newest() const { return newest_; }

    /// Returns the newest version as a difference to the proxy's version, and marks it as in flight. Returns
    /// nullopt if the proxy is up to date, or if a version is in flight already. The next update, which may
    /// skip versions, is sent after the proxy's acknowledgement, so that at most one update is queued on a
    /// slow connection.
    std::optional<ConfigurationUpdate> next_update(ProxyConfiguration& proxy);

  private:
    Number newest_ = 0;
    std::map<Number, std::string> bodies_;  // the most recent versions, as bases of differences
    std::map<Number, std::string> deltas_;  // cached differences to the newest version, by base
};

}  // namespace gannethold::cluster
