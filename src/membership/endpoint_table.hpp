// The list of runners as last heard: their numbers, their addresses, and what is news in a listing.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "log/log.hpp"
#include "membership/endpoint_list.hpp"

namespace gannethold::membership {

class EndpointTable {
  public:
    // gone_binds: whether connections to a runner that is called gone, or left out, are given up. Where they
    // are not, the module goes on by the runner's own answers.
    EndpointTable(std::vector<std::string> zones, std::vector<std::string> instance_types, log::Log& log,
                  bool removal_is_binding = true)
        : zones_(std::move(zones)),
          instance_types_(std::move(instance_types)),
          log_(log),
          removal_is_binding_(removal_is_binding) {}

    struct ConnectionTarget {
        RunnerId runner{};
        net::Address address;
        bool open = false;
        bool restarted = false;
    };
    struct Changes {
        MembershipUpdate update;
        std::vector<ConnectionTarget> targets;  // for the connections
    };

    // nothing: older than what is held
    std::optional<Changes> apply(const EndpointList& listing, UpdateScope scope, Micros now);
    // What is held of that one, as a change; none: it was never in a list.
    std::optional<Changes> current(const std::string& id) const;
    std::uint32_t version() const { return version_; }
    // From where to follow: from the beginning once discovery and this book have come apart.
    std::uint32_t follow_from() const { return is_out_of_sync_ ? 0 : version_; }
    // Against another discovery that counts its versions otherwise: nothing it says is older than what is
    // held.
    void reset_version() { version_ = 0, is_out_of_sync_ = false; }
    bool empty() const { return held_.empty(); }
    // All that is held, for another dispatcher.
    EndpointList to_list() const {
        EndpointList all{version_, true, {}};
        for (const auto& [id, one] : held_)
            if (one.entry.state != RunnerState::gone) all.entries.push_back(one.entry);
        return all;
    }
    // What was last said of that one; none: it was never in a list.
    const Endpoint* find(const std::string& id) const {
        const auto found = held_.find(id);
        return found == held_.end() ? nullptr : &found->second.entry;
    }
    std::optional<RunnerId> id_of(const std::string& id) const {
        const auto found = held_.find(id);
        return found == held_.end() ? std::nullopt : std::optional(found->second.runner);
    }
    // Those in the list, ready or draining, and what else `is` says of them.
    template <class Is>
    std::size_t count_listed(Is is) const {
        std::size_t n = 0;
        for (const auto& [id, held] : held_) n += held.entry.state != RunnerState::gone && is(held.runner);
        return n;
    }
    const std::vector<std::string>& instance_types() const { return instance_types_; }
    const std::string& name_of(RunnerId runner) const;
    // An entry of that name for one that no list names, ready and of that kind and place.
    EndpointEntry make_dynamic_worker(const std::string& name, const std::string& kind,
                                      const std::string& zone);

  private:
    struct KnownEndpoint {
        RunnerId runner{};
        Endpoint entry;
        Micros started_at = 0;
    };
    RunnerId assign_id(const std::string& id);

    const std::vector<std::string> zones_, instance_types_;
    log::Log& log_;
    const bool removal_is_binding_;
    std::map<std::string, KnownEndpoint> held_;  // once in a list, a runner stays known
    std::map<RunnerId, std::string> names_;
    std::uint32_t version_ = 0;
    bool is_out_of_sync_ = false;
};

}  // namespace gannethold::membership
