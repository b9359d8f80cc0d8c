// Which member of the core a proxy tries next to find the coordinator.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace gannethold::cluster {

/// A redirect goes first; else the known members and the seeds take turns.
class CoordinatorAddresses {
  public:
    /// first: where the turns begin, so that proxies do not all begin at the same member.
    CoordinatorAddresses(std::vector<std::string> seeds, std::size_t first)
        : seeds_(std::move(seeds)), next_(first) {}

    void set_seeds(std::vector<std::string> seeds) { seeds_ = std::move(seeds); }
    void set_members(std::vector<std::string> members) { members_ = std::move(members); }
    /// leader: empty where the member that redirects knows none.
    void set_redirect(std::string leader) { redirect_ = std::move(leader); }
    /// The control_plane address to try now; nothing: none is known.
    std::optional<std::string> take_next();

  private:
    std::vector<std::string> seeds_;
    std::vector<std::string> members_;  // as the last coordinator stated them
    std::string redirect_;              // once
    std::size_t next_;
};

}  // namespace gannethold::cluster
