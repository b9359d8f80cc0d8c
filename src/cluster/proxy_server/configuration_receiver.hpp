// Reconstructs the configurations that a coordinator sends as differences.
#pragma once

#include <memory>
#include <string>

#include "cluster/configuration/configuration.hpp"
#include "cluster/wire/messages.hpp"

namespace gannethold::cluster {

/// Keeps the body of the current configuration, which the next difference is applied to.
class ConfigurationReceiver {
  public:
    /// Returns the configuration in the update. version: of the current configuration, which is the last one
    /// returned. Errors: bytes_malformed (a difference to another version, or one that can not be applied),
    /// and those of Configuration::parse(). After an error, a difference to the current version can still be
    /// received.
    leaf::result<std::shared_ptr<const Configuration>> receive(const ConfigurationUpdate& update,
                                                               Number version);

  private:
    std::string body_;  // of the current configuration
};

}  // namespace gannethold::cluster
