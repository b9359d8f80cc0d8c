#include "cluster/proxy/endpoint_table.hpp"

#include <utility>

#include "cluster/base/mechanisms.hpp"

namespace gannethold::cluster {

Endpoint* EndpointTable::find(const std::string& runner) {
    const auto endpoint = endpoints_.find(runner);
    return endpoint == endpoints_.end() ? nullptr : &endpoint->second;
}

Endpoint* EndpointTable::find_by_number(std::uint32_t number) {
    const auto runner = runner_by_number_.find(number);
    return runner == runner_by_number_.end() ? nullptr : find(runner->second);
}

Endpoint* EndpointTable::select(const Split& split, std::string_view zone, double draw,
                                const IsEligible& is_eligible) {
    const auto select_share = [&](bool only_in_zone) {
        return split.draw(draw, [&](const Split::Share& share) {
            const Endpoint* const endpoint = find(share.runner);
            return endpoint && is_eligible(*endpoint, share) &&
                   (!only_in_zone || endpoint->info.zone == zone);
        });
    };
    const Split::Share* selected = is_off(Mechanism::near_zone_first) ? nullptr : select_share(true);
    if (!selected) selected = select_share(false);
    return selected ? find(selected->runner) : nullptr;
}

void EndpointTable::begin_session() {
    runner_by_number_.clear();
    for (auto& [runner, endpoint] : endpoints_) endpoint.number = 0;
}

std::vector<RunnerInfo> EndpointTable::make_registration() {
    std::vector<RunnerInfo> runners;
    for (auto& [runner, endpoint] : endpoints_) {
        endpoint.registered_in_flight = 0;
        if (endpoint.state == RunnerState::gone && endpoint.in_flight == 0) continue;
        RunnerInfo info = endpoint.info;
        // Attempts without a slot are not counted, because the coordinator is not notified when they end.
        info.outstanding = functions_.is_unrestricted(info.service) ? 0 : endpoint.in_flight;
        info.reachable = endpoint.state == RunnerState::ready;
        endpoint.registered_in_flight = info.outstanding;
        runners.push_back(std::move(info));
    }
    return runners;
}

void EndpointTable::on_update(const RunnerUpdate& update, Actions& actions) {
    if (update.state == RunnerState::gone) return on_gone(update, actions);
    const std::string& runner = update.runner.runner_id;
    Endpoint& endpoint = endpoints_[runner];
    const bool is_first_in_session = endpoint.number == 0;
    if (endpoint.number != update.number) runner_by_number_.erase(endpoint.number);
    endpoint.info = update.runner;
    endpoint.number = update.number;
    endpoint.state = update.state;
    runner_by_number_[update.number] = runner;
    if (is_first_in_session) correct_registration(endpoint, actions);
    if (update.state == RunnerState::ready)
        functions_.state_of(update.runner.service).split.add_runner(runner, update.runner.slots);
    if (update.watch && update.state == RunnerState::starting) {
        probed_runners_[update.runner.address].push_back(runner);
        actions.probed_addresses.push_back(update.runner.address);
    }
}

// Attempts of this proxy may still be in flight at a removed runner. Their slots are released under the
// number that this update assigns.
void EndpointTable::on_gone(const RunnerUpdate& update, Actions& actions) {
    if (Endpoint* const endpoint = find(update.runner.runner_id); endpoint && endpoint->number == 0) {
        endpoint->number = update.number;
        runner_by_number_[update.number] = update.runner.runner_id;
        correct_registration(*endpoint, actions);
    }
    if (const auto runner = runner_by_number_.find(update.number); runner != runner_by_number_.end())
        remove(std::string(runner->second), actions);
}

// Releases the slots of attempts that ended after the registration was sent, and reports attempts that
// started after it. Otherwise a slot would stay occupied, or be granted twice, until the session ends.
void EndpointTable::correct_registration(Endpoint& endpoint, Actions& actions) {
    const std::uint32_t registered = std::exchange(endpoint.registered_in_flight, 0);
    if (functions_.state_of(endpoint.info.service).unrestricted) return;
    if (endpoint.in_flight > registered)
        actions.messages.emplace_back(
            OutstandingReport{{{endpoint.number, endpoint.in_flight - registered}}});
    for (std::uint32_t ended = endpoint.in_flight; ended < registered; ++ended)
        actions.messages.emplace_back(Release{0, endpoint.number, ReleaseReason::unused, 0});
}

void EndpointTable::remove(const std::string& runner, Actions& actions) {
    const auto found = endpoints_.find(runner);
    if (found == endpoints_.end()) return;
    Endpoint& endpoint = found->second;
    functions_.state_of(endpoint.info.service).split.remove_runner(runner);
    actions.evicted_addresses.push_back(endpoint.info.address);
    endpoint.state = RunnerState::gone;
    if (endpoint.in_flight > 0) return;
    runner_by_number_.erase(endpoint.number);
    endpoints_.erase(found);
}

void EndpointTable::eject(const std::string& runner, Micros until) {
    if (Endpoint* const endpoint = find(runner)) endpoint->ejected_until = until;
}

void EndpointTable::on_probe_completed(const std::string& address, bool reachable, bool has_coordinator,
                                       Actions& actions) {
    const auto probed = probed_runners_.find(address);
    if (probed == probed_runners_.end()) return;
    for (const std::string& runner : probed->second) {
        const Endpoint* const endpoint = find(runner);
        if (endpoint && endpoint->number > 0 && has_coordinator)
            actions.messages.emplace_back(RunnerReachable{endpoint->number, reachable});
    }
    probed_runners_.erase(probed);
}

}  // namespace gannethold::cluster
