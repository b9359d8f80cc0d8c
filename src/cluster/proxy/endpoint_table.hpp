// The runners that the coordinator has announced to this proxy, with what this proxy does at each of them.
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

struct Endpoint {
    RunnerInfo info;
    std::uint32_t number = 0;     ///< the coordinator's name for it in this session; 0: not yet announced
    std::uint32_t in_flight = 0;  ///< attempts that this proxy has there
    std::uint32_t registered_in_flight = 0;  ///< of those, what the registration under way has stated
    RunnerState state = RunnerState::starting;
    Micros ejected_until = 0;  ///< after it could not be reached

    bool is_selectable(Micros now) const { return state == RunnerState::ready && now >= ejected_until; }
};

/// Pointers to endpoints are valid until the endpoint is removed.
class EndpointTable {
  public:
    using IsEligible = std::function<bool(const Endpoint&, const Split::Share&)>;

    /// functions is kept by reference: runners enter and leave the splits there.
    explicit EndpointTable(FunctionTable& functions) : functions_(functions) {}

    /// A runner is announced, has changed or is gone.
    void on_update(const RunnerUpdate& update, Actions& actions);
    /// A probed address took a connection, or did not for too long. has_coordinator: somebody to be notified.
    void on_probe_completed(const std::string& address, bool reachable, bool has_coordinator,
                            Actions& actions);
    /// A session with a coordinator has begun, which will give the runners other numbers.
    void begin_session();
    /// What this proxy has in flight, for a registration. What changes until the coordinator announces the
    /// runner is corrected by on_update().
    std::vector<RunnerInfo> make_registration();

    /// nullptr: not known here.
    Endpoint* find(const std::string& runner);
    /// nullptr: no runner of this session has the number.
    Endpoint* find_by_number(std::uint32_t number);
    /// Draws a runner by the split's fractions among those that are eligible, in zone where there are such
    /// ones: what crosses zones is paid for and slower. draw: uniform in [0, 1). nullptr: none is eligible.
    Endpoint* select(const Split& split, std::string_view zone, double draw, const IsEligible& is_eligible);

    /// The runner takes no further requests from here. It is kept while attempts are in flight, whose ends
    /// still release their slots.
    void remove(const std::string& runner, Actions& actions);
    /// No request is sent there until then.
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
