// Puts the configurations together that a coordinator sends as differences.
#pragma once

#include <memory>
#include <string>

#include "cluster/configuration/configuration.hpp"
#include "cluster/wire/messages.hpp"

namespace gannethold::cluster {

class ConfigurationReceiver {
  public:
    /// The configuration that was sent. version: of the one in force, which is the one returned last.
    /// Errors: bytes_malformed (a difference to another version, or that does not fit), and those of
    /// Configuration::read(). After an error the next difference to the version in force still fits.
    leaf::result<std::shared_ptr<const Configuration>> receive(const ConfigurationSent& sent, Number version);

  private:
    std::string body_;  // of the configuration in force
};

}  // namespace gannethold::cluster
