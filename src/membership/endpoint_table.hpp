// The runners in discovery's most recent list, with their ids and addresses. Computes what each new list
// changes.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "log/log.hpp"
#include "membership/endpoint_list.hpp"

namespace gannethold::membership {

class EndpointTable {
  public:
    // removal_is_binding: whether connections to a runner are closed when discovery reports it as gone or
    // omits it. Otherwise they stay open, and the decision module judges the runner by its responses.
    EndpointTable(std::vector<std::string> zones, std::vector<std::string> instance_types, log::Log& log,
                  bool removal_is_binding = true)
        : zones_(std::move(zones)),
          instance_types_(std::move(instance_types)),
          log_(log),
          removal_is_binding_(removal_is_binding) {}

    // Where to connect to a runner, and whether new assignments may be sent.
    struct ConnectionTarget {
        RunnerId runner{};
        net::Address address;
        bool open = false;
        bool restarted = false;
    };
    // The result of a list: the update for the decision module and the one for the connection pool.
    struct Changes {
        MembershipUpdate update;
        std::vector<ConnectionTarget> targets;
    };

    // Applies a list. Returns no value if it is a delta older than the current version.
    std::optional<Changes> apply(const EndpointList& list, UpdateScope scope, Micros now);
    // The current entry of a runner, as a delta. No value: the runner was never listed.
    std::optional<Changes> current(const std::string& id) const;
    std::uint32_t version() const { return version_; }
    // The version to follow changes from: 0 (the complete list) after an outdated delta was rejected.
    std::uint32_t follow_from() const { return is_out_of_sync_ ? 0 : version_; }
    // For a change to another discovery service, whose versions are unrelated to the current one.
    void reset_version() { version_ = 0, is_out_of_sync_ = false; }
    bool empty() const { return known_.empty(); }
    // All runners that are ready or draining, for another dispatcher.
    EndpointList to_list() const {
        EndpointList list{version_, true, {}};
        for (const auto& [id, one] : known_)
            if (one.entry.state != RunnerState::gone) list.entries.push_back(one.entry);
        return list;
    }
    // The most recent entry of a runner; nullptr: it was never listed.
    const Endpoint* find(const std::string& id) const {
        const auto found = known_.find(id);
        return found == known_.end() ? nullptr : &found->second.entry;
    }
    std::optional<RunnerId> id_of(const std::string& id) const {
        const auto found = known_.find(id);
        return found == known_.end() ? std::nullopt : std::optional(found->second.runner);
    }
    // Counts the listed runners, ready or draining, for which the predicate holds.
    template <class Predicate>
    std::size_t count_listed(Predicate predicate) const {
        std::size_t count = 0;
        for (const auto& [id, known] : known_)
            count += known.entry.state != RunnerState::gone && predicate(known.runner);
        return count;
    }
    const std::vector<std::string>& instance_types() const { return instance_types_; }
    const std::string& name_of(RunnerId runner) const;
    // Makes the entry of a worker that discovery does not list: ready, with the given instance type and zone.
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
    std::map<std::string, KnownEndpoint> known_;  // by runner id; entries are never removed
    std::map<RunnerId, std::string> names_;
    std::uint32_t version_ = 0;
    bool is_out_of_sync_ = false;
};

}  // namespace gannethold::membership
