// The runners that the coordinator has announced to this proxy, with the proxy's attempts in flight at each.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cluster/proxy/actions.hpp"
#include "cluster/proxy/function_table.hpp"

namespace gannethold::cluster {

/// A runner as this proxy sees it.
struct Endpoint {
    RunnerInfo info;
    std::uint32_t number = 0;     ///< the coordinator's id of it in this session; 0: not announced yet
    std::uint32_t in_flight = 0;  ///< attempts of this proxy in flight at the runner
    std::uint32_t registered_in_flight = 0;  ///< the value of in_flight stated in the pending registration
    RunnerState state = RunnerState::starting;
    Micros ejected_until = 0;  ///< set when a connection to the runner fails

    bool is_selectable(Micros now) const { return state == RunnerState::ready && now >= ejected_until; }
};

/// Returned pointers to an endpoint are valid until that endpoint is removed.
class EndpointTable {
  public:
    using IsEligible = std::function<bool(const Endpoint&, const Split::Share&)>;

    /// Keeps a reference to functions and adds runners to, and removes them from, the splits in it.
    explicit EndpointTable(FunctionTable& functions) : functions_(functions) {}

    /// Handles the announcement, the change or the removal of a runner.
    void on_update(const RunnerUpdate& update, Actions& actions);
    /// Handles the end of a probe: the address accepted a connection, or the probe expired. Reports the
    /// result to the coordinator if has_coordinator is true.
    void on_probe_completed(const std::string& address, bool reachable, bool has_coordinator,
                            Actions& actions);
    /// Starts a session with a coordinator. The coordinator assigns new numbers to the runners.
    void begin_session();
    /// Returns the attempts in flight at each runner, for a registration. on_update() corrects the changes
    /// that occur before the coordinator announces the runner.
    std::vector<RunnerInfo> make_registration();

    /// Returns nullptr if the runner is unknown.
    Endpoint* find(const std::string& runner);
    /// Returns nullptr if no runner of this session has the number.
    Endpoint* find_by_number(std::uint32_t number);
    /// Selects one of the eligible runners at random, weighted by the split's fractions. Prefers runners in
    /// zone, because traffic between zones is slower and costs money. draw: uniform in [0, 1). Returns
    /// nullptr if no runner is eligible.
    Endpoint* select(const Split& split, std::string_view zone, double draw, const IsEligible& is_eligible);

    /// Stops selecting the runner. Its entry is kept while attempts are in flight, because their slots are
    /// released when they end.
    void remove(const std::string& runner, Actions& actions);
    /// Excludes the runner from selection until the given time.
    void eject(const std::string& runner, Micros until);

  private:
    void on_gone(const RunnerUpdate& update, Actions& actions);
    void correct_registration(Endpoint& endpoint, Actions& actions);

    FunctionTable& functions_;
    std::unordered_map<std::string, Endpoint> endpoints_;              // by runner
    std::unordered_map<std::uint32_t, std::string> runner_by_number_;  // of this session
    std::map<std::string, std::vector<std::string>> probed_runners_;   // by address
};

}  // namespace gannethold::cluster
