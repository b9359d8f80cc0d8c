// The coordinator at the leading core: it grants slots to proxies, and starts and stops runners.
#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cluster/configuration/configuration.hpp"
#include "cluster/placement/planner.hpp"
#include "cluster/runners/runner_list_poller.hpp"
#include "cluster/slots/slot_table.hpp"
#include "core_machines.hpp"
#include "environment.hpp"
#include "platform.hpp"

namespace gannethold::cluster::simulation {

/// What one leader keeps while it has its term.
struct Coordinator {
    Coordinator(Number its_term, const SlotTable::Options& slots, const Planner::Options& placement,
                Micros now)
        : term(its_term),
          slot_table(slots),
          planner(placement, now),
          list_poller({.max_pages_per_s = 20}, now) {}

    const Number term;
    SlotTable slot_table;
    Planner planner;
    RunnerListPoller list_poller;
    std::set<std::size_t> proxies;  // that are registered
    Number version = 0;             // of its configuration
    Micros next_step = 0;
    std::size_t checked_inversions = 0;
};

/// The way from a coordinator to its proxies.
class ProxyChannel {
  public:
    ProxyChannel() = default;
    ProxyChannel(const ProxyChannel&) = delete;
    ProxyChannel& operator=(const ProxyChannel&) = delete;
    virtual ~ProxyChannel() = default;

    virtual void send(std::size_t core, const ProxyOutbox& messages) = 0;
    virtual void configure(std::size_t proxy, const std::shared_ptr<const Configuration>& configuration) = 0;
};

class Coordinators {
  public:
    Coordinators(Environment& environment, const CoreMachines& cores, Platform& platform);

    /// REQUIRES: called before the first step; the channel outlives this object.
    void connect(ProxyChannel& channel) { channel_ = &channel; }
    /// Opens, closes or configures the coordinator of that core as its role and configuration have it.
    void update_role(std::size_t core);
    /// A regular step, if one is due.
    void tick(std::size_t core);
    void close(std::size_t core) { coordinators_.erase(core); }
    /// The coordinator at that core; nullptr: none.
    Coordinator* find(std::size_t core);
    /// Likewise, if it is that of this term and of this incarnation of the core's process.
    Coordinator* find(std::size_t core, Number incarnation, Number term);
    /// A proxy's message. REQUIRES: the core leads and has a coordinator.
    void on_message(std::size_t core, Session session, const Message& message);
    /// The connection of that session is lost.
    void on_disconnected(std::size_t core, std::size_t proxy, Session session);
    /// Whether the leader lets proxies use the slots of that service without a request each.
    bool is_unrestricted(const std::string& service) const;

  private:
    void open(std::size_t core);
    void configure(std::size_t core, const LogEntry& entry);
    void read_runner_list(Coordinator& coordinator, ProxyOutbox& messages);
    void check_grants(const SlotTable& slot_table);
    void check_priority_inversions(Coordinator& coordinator);
    void request_start(std::size_t core, Number term, const StartRunner& request);
    void request_stop(std::size_t core, Number term, const StopRunner& request);

    Environment& environment_;
    const CoreMachines& cores_;
    Platform& platform_;
    ProxyChannel* channel_ = nullptr;
    std::map<std::size_t, std::unique_ptr<Coordinator>> coordinators_;  // by core
};

}  // namespace gannethold::cluster::simulation
