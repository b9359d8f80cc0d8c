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
    EndpointTable(std::vector<std::string> zones, std::vector<std::string> kinds, log::Log& log,
         bool gone_binds = true)
        : zones_(std::move(zones)), kinds_(std::move(kinds)), log_(log), gone_binds_(gone_binds) {}

    struct ConnectionTarget {
        RunnerId runner{};
        net::Address address;
        bool open = false;
        bool restarted = false;
    };
    struct Changes {
        MembershipUpdate for_module;
        std::vector<ConnectionTarget> seats;  // for the connections
    };

    // nothing: older than what is held
    std::optional<Changes> take(const EndpointList& listing, UpdateScope scope, Micros now);
    // What is held of that one, as a change; none: it was never in a list.
    std::optional<Changes> present(const std::string& id) const;
    std::uint32_t version() const { return version_; }
    // From where to follow: from the beginning once discovery and this book have come apart.
    std::uint32_t since() const { return apart_ ? 0 : version_; }
    // Against another discovery that counts its versions otherwise: nothing it says is older than what is
    // held.
    void count_anew() { version_ = 0, apart_ = false; }
    bool empty() const { return held_.empty(); }
    // All that is held, for another dispatcher.
    EndpointList held() const {
        EndpointList all{version_, true, {}};
        for (const auto& [id, one] : held_)
            if (one.entry.state != RunnerState::gone) all.entries.push_back(one.entry);
        return all;
    }
    // What was last said of that one; none: it was never in a list.
    const Endpoint* entry(const std::string& id) const {
        const auto found = held_.find(id);
        return found == held_.end() ? nullptr : &found->second.entry;
    }
    std::optional<RunnerId> number_of(const std::string& id) const {
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
    const std::vector<std::string>& kinds() const { return kinds_; }
    const std::string& name_of(RunnerId runner) const;
    // An entry of that name for one that no list names, ready and of that kind and place.
    EndpointEntry guest(const std::string& name, const std::string& kind, const std::string& zone);

  private:
    struct KnownEndpoint {
        RunnerId runner{};
        Endpoint entry;
        Micros started_at = 0;
    };
    RunnerId number_for(const std::string& id);

    const std::vector<std::string> zones_, kinds_;
    log::Log& log_;
    const bool gone_binds_;
    std::map<std::string, KnownEndpoint> held_;  // once in a list, a runner stays known
    std::map<RunnerId, std::string> names_;
    std::uint32_t version_ = 0;
    bool apart_ = false;
};

}  // namespace gannethold::membership
