// The addresses at which a proxy looks for the coordinator.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace gannethold::cluster {

/// Returns the address of a redirect first, otherwise the known members and the seeds in round-robin order.
class CoordinatorAddresses {
  public:
    /// first_index: where the round robin starts. Proxies use different values, so that they do not all
    /// connect to the same member first.
    CoordinatorAddresses(std::vector<std::string> seeds, std::size_t first_index)
        : seeds_(std::move(seeds)), next_(first_index) {}

    void set_seeds(std::vector<std::string> seeds) { seeds_ = std::move(seeds); }
    void set_members(std::vector<std::string> members) { members_ = std::move(members); }
    /// leader: empty if the member that sent the redirect knows no leader.
    void set_redirect(std::string leader) { redirect_ = std::move(leader); }
    /// Returns the next control-plane address to try; nullopt if none is known.
    std::optional<std::string> take_next();

  private:
    std::vector<std::string> seeds_;
    std::vector<std::string> members_;  // from the last registration response
    std::string redirect_;              // cleared when it is returned
    std::size_t next_;
};

}  // namespace gannethold::cluster
