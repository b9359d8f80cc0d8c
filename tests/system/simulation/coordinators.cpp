#include "coordinators.hpp"

#include <algorithm>
#include <utility>

namespace gannethold::cluster::simulation {
namespace {

constexpr std::size_t kBudgetSlack = 20;
constexpr double kStartsPerSecond = 100;
constexpr double kExpectedRequestsPerS = 1;  // of each proxy: there are few
constexpr Micros kSettleFirstTerm = 200'000;
constexpr Micros kSettleLaterTerm = 1'500'000;

}  // namespace

Coordinators::Coordinators(Environment& environment, const CoreMachines& cores, Platform& platform)
    : environment_(environment), cores_(cores), platform_(platform) {}

Coordinator* Coordinators::find(std::size_t core) {
    const auto coordinator = coordinators_.find(core);
    return coordinator == coordinators_.end() ? nullptr : coordinator->second.get();
}

Coordinator* Coordinators::find(std::size_t core, Number incarnation, Number term) {
    Coordinator* const coordinator = find(core);
    const bool is_same =
        cores_.at(core).incarnation == incarnation && coordinator && coordinator->term == term;
    return is_same ? coordinator : nullptr;
}

// ---- role

void Coordinators::update_role(std::size_t core) {
    if (!cores_.is_responsive(core)) return;
    const Consensus& consensus = *cores_.at(core).consensus;
    const Coordinator* const before = find(core);
    if (before && (!consensus.is_established_leader() || before->term != consensus.current_term()))
        close(core);
    if (!cores_.is_leading(core)) return;
    if (!find(core) && environment_.shape.proxies > 0) open(core);
    const Coordinator* const coordinator = find(core);
    const LogEntry* const entry = consensus.committed_entry();
    if (coordinator && entry && entry->version > coordinator->version) configure(core, *entry);
}

void Coordinators::open(std::size_t core) {
    const Number term = cores_.at(core).consensus->current_term();
    SlotTable::Options slots;
    slots.retry_budget = kBudgetSlack;
    Planner::Options placement;
    placement.nonce_prefix = cores_.at(core).address + "-" + std::to_string(term) + "-";
    placement.requests_per_s = kStartsPerSecond;
    placement.rates.expected_requests_per_s = kExpectedRequestsPerS;
    placement.takeover_delay = term <= 1 ? kSettleFirstTerm : kSettleLaterTerm;
    for (const char* zone : {"z0", "z1", "z2"}) placement.region_of[zone] = "r";
    coordinators_[core] = std::make_unique<Coordinator>(term, slots, placement, environment_.now());
}

void Coordinators::configure(std::size_t core, const LogEntry& entry) {
    Coordinator& coordinator = *find(core);
    coordinator.version = entry.version;
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(configuration, Configuration::parse(entry.body));
            coordinator.slot_table.configure(configuration);
            for (const std::size_t proxy : coordinator.proxies)
                environment_.after_hop(
                    [this, proxy, configuration] { channel_->configure(proxy, configuration); });
            return {};
        },
        [&] { environment_.violations.report("a committed configuration can't be read"); });
}

bool Coordinators::is_unrestricted(const std::string& service) const {
    const std::optional<std::size_t> leader = cores_.leader();
    const auto coordinator = leader ? coordinators_.find(*leader) : coordinators_.end();
    if (coordinator == coordinators_.end()) return false;
    const auto& functions = coordinator->second->slot_table.functions();
    const auto function = functions.find(service);
    return function != functions.end() && function->second->unrestricted;
}

// ---- messages of proxies

void Coordinators::on_message(std::size_t core, Session session, const Message& message) {
    Coordinator& coordinator = *find(core);
    SlotTable& slot_table = coordinator.slot_table;
    const Micros now = environment_.now();
    ProxyOutbox messages;
    if (const auto* const acquire = std::get_if<AcquireRequest>(&message)) {
        Function* const function = slot_table.on_acquire_request(now, session, *acquire, messages);
        if (function && !function->waiting.empty()) {
            coordinator.planner.plan_for_waiting(now, slot_table, *function, messages);
            const PlatformRequests requests = coordinator.planner.take_due_requests(now);
            for (const StartRunner& request : requests.starts) request_start(core, coordinator.term, request);
        }
    }
    if (const auto* const release = std::get_if<Release>(&message))
        slot_table.on_release(now, session, *release, messages);
    if (const auto* const reachable = std::get_if<RunnerReachable>(&message))
        slot_table.on_runner_reachable(now, session, *reachable, messages);
    if (const auto* const load = std::get_if<LoadReport>(&message))
        slot_table.on_load_report(now, session, *load);
    if (const auto* const outstanding = std::get_if<OutstandingReport>(&message))
        slot_table.on_outstanding_report(now, session, *outstanding);
    channel_->send(core, messages);
}

void Coordinators::on_disconnected(std::size_t core, std::size_t proxy, Session session) {
    Coordinator& coordinator = *find(core);
    ProxyOutbox messages;
    coordinator.slot_table.on_proxy_disconnected(environment_.now(), session, messages);
    coordinator.proxies.erase(proxy);
    channel_->send(core, messages);
}

// ---- regular steps

void Coordinators::tick(std::size_t core) {
    Coordinator* const coordinator = find(core);
    const Micros now = environment_.now();
    if (!coordinator || now < coordinator->next_step || !cores_.is_leading(core)) return;
    coordinator->next_step = now + SlotTable::kSampleInterval;
    ProxyOutbox messages;
    coordinator->planner.update_workers(platform_.list_workers());
    coordinator->planner.cancel_lost_starts(now, coordinator->slot_table, messages);
    read_runner_list(*coordinator, messages);
    coordinator->slot_table.tick(now, messages);
    check_grants(coordinator->slot_table);
    check_priority_inversions(*coordinator);
    coordinator->planner.plan_all(now, coordinator->slot_table, messages);
    const PlatformRequests requests = coordinator->planner.take_due_requests(now);
    channel_->send(core, messages);
    for (const StartRunner& request : requests.starts) request_start(core, coordinator->term, request);
    for (const StopRunner& request : requests.stops) request_stop(core, coordinator->term, request);
}

void Coordinators::read_runner_list(Coordinator& coordinator, ProxyOutbox& messages) {
    const Micros now = environment_.now();
    if (!coordinator.list_poller.take_due_request(now)) return;
    const RunnerListPage page = platform_.list_runners();
    const RunnerListPoller::Update update = coordinator.list_poller.on_page(now, page);
    for (const ListedRunner& listed : page.runners)
        coordinator.slot_table.on_runner_listed(now, listed.info, listed.draining, messages);
    for (const std::string& runner : update.removed)
        coordinator.slot_table.on_runner_gone(now, runner, messages);
    coordinator.planner.on_list_complete(now);
}

// A request has one slot of a runner at most, and no more are granted than there are.
void Coordinators::check_grants(const SlotTable& slot_table) {
    for (const auto& [number, runner] : slot_table.runners()) {
        std::set<std::pair<Session, std::uint32_t>> granted;
        for (const RunnerSlots::Grant& grant : runner.grants)
            if (grant.request_id > 0 && !granted.insert({grant.session, grant.request_id}).second)
                environment_.violations.report("one request has two slots of " + runner.info.runner_id);
        if (granted.size() > runner.info.slots)
            environment_.violations.report("more granted than " + runner.info.runner_id + " has slots");
    }
}

// No request is served before an earlier one but for having less time left, or where the earlier one can't
// meet its latency target any more, or as a late one in its turn.
void Coordinators::check_priority_inversions(Coordinator& coordinator) {
    const auto& inversions = coordinator.slot_table.priority_inversions();
    const auto& kept = inversions.entries();
    const std::size_t unchecked =
        std::min(inversions.total_added() - coordinator.checked_inversions, kept.size());
    coordinator.checked_inversions = inversions.total_added();
    for (std::size_t n = kept.size() - unchecked; n < kept.size(); ++n) {
        const PriorityInversion& inversion = kept[n];
        const std::string why = inversion.reason;
        const bool is_more_urgent = inversion.time_left + inversion.priority * kPriorityStep <=
                                    inversion.passed_time_left + inversion.passed_priority * kPriorityStep;
        if (why == "less_time_left" && !is_more_urgent)
            environment_.violations.report("one with more time left was served first in " +
                                           inversion.service);
        if (why == "passed_is_late" && inversion.time_left <= 0)
            environment_.violations.report("one that is late itself was served before a late one in " +
                                           inversion.service);
    }
}

// ---- calls to the platform

void Coordinators::request_start(std::size_t core, Number term, const StartRunner& request) {
    environment_.recorder.add(std::uint64_t{core}, term, request.service, request.worker, request.nonce);
    const auto on_answer = [this, core, incarnation = cores_.at(core).incarnation, nonce = request.nonce](
                               StartResult result, const RunnerInfo& runner) {
        Coordinator* const coordinator = find(core);
        const CoreMachine& machine = cores_.at(core);
        const Micros now = environment_.now();
        // A stalled machine takes the answer all the same.
        const bool leads = machine.consensus && machine.consensus->has_lease(now);
        if (machine.incarnation != incarnation || !coordinator || !leads) return;
        ProxyOutbox messages;
        if (result == StartResult::started) coordinator->slot_table.on_runner_started(now, runner, messages);
        coordinator->planner.on_start_result(now, nonce, result);
        channel_->send(core, messages);
    };
    platform_.start(request, term, cores_.at(core).address, on_answer);
}

void Coordinators::request_stop(std::size_t core, Number term, const StopRunner& request) {
    environment_.recorder.add(std::uint64_t{core}, request.runner);
    const auto on_answer = [this, core, term, incarnation = cores_.at(core).incarnation,
                            runner = request.runner] {
        Coordinator* const coordinator = find(core, incarnation, term);
        if (!coordinator) return;
        coordinator->planner.on_stop_result(runner, true);
        ProxyOutbox messages;
        coordinator->slot_table.on_runner_gone(environment_.now(), runner, messages);
        channel_->send(core, messages);
    };
    platform_.stop(request.runner, on_answer);
}

}  // namespace gannethold::cluster::simulation
