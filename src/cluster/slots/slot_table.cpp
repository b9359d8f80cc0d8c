// Configuration, runners and sampling of the slot table. Messages of proxies are handled in
// slot_table_proxies.cpp.
#include "cluster/slots/slot_table.hpp"

#include <algorithm>
#include <map>
#include <utility>

#include "cluster/slots/expected_wait.hpp"

namespace gannethold::cluster {
namespace {

// Requests that proxies sent without a grant, before they were notified that the runner drains, have arrived
// at the runner after this time.
constexpr Micros kMaxDeliveryTime = 1'000'000;
constexpr Micros kMaxReportAge = 3'000'000;  // older load reports of a proxy are ignored

}  // namespace

SlotTable::SlotTable(const Options& options)
    : functions_({options.retry_budget, options.retry_budget_window}),
      runners_(options.first_runner_number),
      notifier_(runners_, proxies_),
      modes_({options.allow_unrestricted, options.max_rejections}),
      scheduler_({options.late_turn_interval}, runners_, proxies_, notifier_, durations_) {}

void SlotTable::configure(std::shared_ptr<const Configuration> configuration) {
    functions_.configure(std::move(configuration));
    runners_.update_slots();
}

const std::string* SlotTable::proxy_zone(Session session) const {
    const ProxySession* const proxy = proxies_.find(session);
    return proxy ? &proxy->zone : nullptr;
}

const std::string* SlotTable::proxy_name(Session session) const {
    const ProxySession* const proxy = proxies_.find(session);
    return proxy ? &proxy->name : nullptr;
}

double SlotTable::expected_wait_us(Micros now, const Function& function) const {
    return cluster::expected_wait_us(now, function, durations_);
}

double SlotTable::expected_rate(Micros now, const Function& function, double prior) const {
    const double groups = static_cast<double>(std::max<std::size_t>(1, functions_.group_count()));
    return ExpectedRate(observed_time_.seconds(now), prior / groups)
        .requests_per_s(now, function.arrivals, *function.group);
}

void SlotTable::count_arrivals(Micros now, Function& function, double requests) {
    if (requests <= 0) return;
    observed_time_.on_request(now);
    function.arrivals.add(now, requests);
    if (function.group) function.group->arrivals.add(now, requests);
}

// ---- runners ----

void SlotTable::on_runner_started(Micros now, const RunnerInfo& info, ProxyOutbox& out) {
    if (runners_.find(info.runner_id) || runners_.has_ended(info.runner_id)) return;
    Function& function = functions_.get_or_add(info.service);
    RunnerSlots& runner = runners_.add(now, info, function);
    runner.adopted = false;
    functions_.activate(function);
    notifier_.assign_prober(runner, out);
}

void SlotTable::on_runner_listed(Micros now, const RunnerInfo& info, bool draining, ProxyOutbox& out) {
    RunnerSlots* runner = runners_.find(info.runner_id);
    if (!runner) {
        if (draining || runners_.has_ended(info.runner_id)) return;
        Function& function = functions_.get_or_add(info.service);
        runner = &runners_.add(now, info, function);
        functions_.activate(function);
    }
    if (runner->info.worker.empty()) runner->info.worker = info.worker;
    const bool becomes_ready = runner->state == RunnerState::starting;
    const bool becomes_draining = draining && !runner->draining;
    if (becomes_ready) runners_.mark_ready(*runner);
    if (becomes_draining) start_draining(now, *runner);
    if (!becomes_ready && !becomes_draining) return;
    functions_.activate(*runner->function);
    notifier_.notify_all(*runner, out);
    scheduler_.serve_waiting(now, *runner->function, out);
}

void SlotTable::on_runner_gone(Micros now, const std::string& id, ProxyOutbox& out) {
    runners_.record_end(now, id);
    if (RunnerSlots* const runner = runners_.find(id)) remove_runner(now, *runner, out);
}

void SlotTable::remove_runner(Micros now, RunnerSlots& runner, ProxyOutbox& out) {
    Function& function = *runner.function;
    runner.state = RunnerState::gone;
    notifier_.notify_all(runner, out);
    runners_.remove(now, runner);
    functions_.activate(function);
}

void SlotTable::start_draining(Micros now, RunnerSlots& runner) {
    runner.draining = true;
    runner.draining_since = now;
}

bool SlotTable::drain_runner(Micros now, std::uint32_t number, ProxyOutbox& out) {
    RunnerSlots* const runner = runners_.find(number);
    if (!runner) return true;
    if (!runner->draining) {
        start_draining(now, *runner);
        notifier_.notify_all(*runner, out);
    }
    const Micros delivery_time = runner->function->unrestricted ? kMaxDeliveryTime : 0;
    return runner->grants.empty() && now >= runner->draining_since + delivery_time;
}

void SlotTable::assign_probers(ProxyOutbox& out) {
    for (const std::uint32_t number : runners_.starting())
        notifier_.assign_prober(*runners_.find(number), out);
}

// ---- samples ----

void SlotTable::tick(Micros now, ProxyOutbox& out) {
    assign_probers(out);
    runners_.remove_old_ends(now);
    for (Function* const function : functions_.active()) sample(now, *function, out);
    functions_.deactivate_idle(now);
}

void SlotTable::sample(Micros now, Function& function, ProxyOutbox& out) {
    constexpr double kSampleSeconds = static_cast<double>(kSampleInterval) / 1e6;
    double reported_slots = 0;
    std::map<std::string, double> reported_rates;  // by zone
    for (const auto& [session, load] : function.proxy_loads) {
        if (now > load.reported_at + kMaxReportAge) continue;
        reported_slots += load.slots;
        if (const std::string* const zone = proxy_zone(session)) reported_rates[*zone] += load.requests_per_s;
    }
    double reported_rate = 0;
    for (const auto& [zone, rate] : reported_rates) reported_rate += rate;
    function.load.sample(reported_slots, reported_rate, function.outstanding(), kSampleSeconds);
    function.zones.sample(reported_rates, kSampleSeconds);
    count_arrivals(now, function, reported_rate * kSampleSeconds);
    scheduler_.deny_unservable(now, function, out);
    modes_.update(now, function, out);
    if (!function.waiting.empty()) scheduler_.serve_waiting(now, function, out);
}

}  // namespace gannethold::cluster
