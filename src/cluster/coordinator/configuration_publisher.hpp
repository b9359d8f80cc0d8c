// The committed configurations as they travel to proxies: each proxy gets what it lacks as the difference to
// the version that it holds, one version at a time.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "cluster/wire/messages.hpp"

namespace gannethold::cluster {

/// What one proxy has of the configuration.
struct ProxyConfiguration {
    Number held = 0;       // the version that it confirmed last; 0: none
    Number in_flight = 0;  // the version that was sent and not confirmed; 0: none
};

/// No I/O and no clock.
class ConfigurationPublisher {
  public:
    /// REQUIRES: version > newest().
    void publish(Number version, std::string body);
    /// 0: nothing was published yet.
    Number newest() const { return newest_; }

    /// The newest version as the difference to what the proxy holds, and marks it in flight; nullopt where
    /// the proxy is up to date or a version is in flight already. The next one, which may skip some, follows
    /// the proxy's confirmation, so that however slow its link is no more than one is queued there.
    std::optional<ConfigurationUpdate> next_update(ProxyConfiguration& proxy);

  private:
    Number newest_ = 0;
    std::map<Number, std::string> bodies_;  // of the newest versions, as bases of differences
    std::map<Number, std::string> deltas_;  // to the newest version, by base; made once for all proxies
};

}  // namespace gannethold::cluster
