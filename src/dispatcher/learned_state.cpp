// The learned state that a dispatcher passes to its successor, keyed by names that outlive a process, and how
// the successor restores it.
#include <algorithm>
#include <chrono>

#include "dispatcher/dispatcher.hpp"

namespace gannethold::dispatcher {
namespace {

std::int64_t unix_ms() {
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

snapshot::HistogramBins bins_of(const Histogram& h) { return {h.bins().begin(), h.bins().end()}; }

Histogram histogram_of(const snapshot::HistogramBins& bins, double weight, double max_samples) {
    Histogram h;
    h.assign_bins(snapshot::decayed(bins, weight, max_samples));
    return h;
}

}  // namespace

snapshot::SnapshotScheduler::Part Dispatcher::collect_snapshot(std::size_t offset,
                                                               std::size_t max_runners) const {
    snapshot::SnapshotScheduler::Part part;
    snapshot::Snapshot& saved = part.snapshot;
    saved.written_ms = unix_ms();
    saved.dispatcher = config_.name;
    const LearnedState learned = balancer_.learned_state(offset, max_runners);
    if (learned.table_size > offset && learned.table_size - offset > max_runners)
        part.next_offset = offset + max_runners;
    saved.typical_cost_us = learned.typical_cost;
    for (const RunnerEstimates& r : learned.runners) {
        const std::string& name = book_.name_of(r.runner);
        const membership::Endpoint* const entry = book_.find(name);
        if (!entry) continue;
        saved.runners.push_back({name, entry->kind, entry->zone, entry->address ? entry->address->text : "",
                                 entry->started_ms, bins_of(r.latency), r.min_latency, r.slots, r.fraction});
    }
    if (offset > 0) return part;  // the first part has the rest
    for (const InstanceTypeEstimates& k : learned.instance_types) {
        const auto index = static_cast<std::size_t>(k.instance_type);
        // All instance types that the list of kinds does not name share the index after the last.
        saved.instance_types.push_back(
            {index < book_.instance_types().size() ? book_.instance_types()[index] : "", bins_of(k.latency),
             k.weight});
    }
    for (std::size_t i = 0; i < learned.workloads.size(); ++i) {
        const WorkloadId id{static_cast<std::uint32_t>(i)};
        // A workload whose settings were changed has several ids: only the one in force is saved.
        const auto in_force = directory_.workloads.find(workload_name(id));
        if (in_force == directory_.workloads.end() || in_force->second == id)
            saved.workloads.push_back({workload_name(id), bins_of(learned.workloads[i])});
    }
    const Micros now = net::Loop::now();
    for (const auto& [runner, hold] : holds_.all())
        saved.overrides.push_back({runner, hold.by, hold.why, saved.written_ms - (now - hold.since) / 1000});
    return part;
}

void Dispatcher::restore_snapshot(const snapshot::SnapshotSettings& settings) {
    const snapshot::SnapshotStore store(settings.folder, config_.name);
    snapshot_scheduler_ = std::make_unique<snapshot::SnapshotScheduler>(
        loop_, store, settings.interval,
        [this](std::size_t offset, std::size_t max_runners) { return collect_snapshot(offset, max_runners); },
        [this](const std::string& line, bool is_working) {
            is_working ? log_.info(net::Loop::now(), line) : log_.warning(net::Loop::now(), line);
        });
    const snapshot::SnapshotStore::LoadResult loaded = store.load();
    const Micros now = net::Loop::now();
    for (const std::string& reason : loaded.skipped) log_.warning(now, "snapshot: skipped ", reason);
    if (!loaded.snapshot) {
        restore_summary_ = loaded.skipped.empty() ? "there is none" : "none can be read";
        return log_.info(now, "snapshot: ", restore_summary_);
    }
    const snapshot::Snapshot& saved = *loaded.snapshot;
    const std::size_t restored = apply_snapshot(saved, settings.decay, {});
    const double weight = snapshot::weight_by_age(saved.written_ms, unix_ms(), settings.decay);
    restore_summary_ = std::to_string(restored) + " of " + std::to_string(saved.runners.size()) +
                       " runners restored, at " + std::to_string(static_cast<int>(weight * 100 + 0.5)) + "%";
    log_.info(now, "snapshot: ", log::field("file", loaded.file), ", ", restore_summary_, ", ",
              log::field("holds", saved.overrides.size()), " holds");
}

// Returns for how many runners the estimates counted. `troubles` come from a dispatcher that is still
// running, and from no snapshot on disk.
std::size_t Dispatcher::apply_snapshot(const snapshot::Snapshot& saved, const snapshot::DecayPolicy& policy,
                                       const handover::RunnerConditions& conditions) {
    const Micros now = net::Loop::now();
    const std::int64_t wall = unix_ms();
    const double weight = snapshot::weight_by_age(saved.written_ms, wall, policy);
    LearnedState learned;
    for (const snapshot::SavedRunner& runner : saved.runners) {
        const membership::Endpoint* const entry = book_.find(runner.name);
        const auto number = book_.id_of(runner.name);
        if (!entry || !number) continue;
        const double part = snapshot::weight_of_runner(
            runner, {entry->kind, entry->zone, entry->address ? entry->address->text : "", entry->started_ms},
            weight);
        if (part <= 0) continue;
        const double mean = 1.0 / static_cast<double>(std::max<std::size_t>(1, saved.runners.size()));
        learned.runners.push_back({*number, histogram_of(runner.latency, part, policy.max_samples),
                                   runner.min_latency, 1 + (std::max(1.0, runner.slots) - 1) * part,
                                   runner.fraction * part + mean * (1 - part)});
        if (const auto condition = conditions.find(runner.name); condition != conditions.end())
            learned.runners.back().ejected_for = condition->second.ejected_for,
            learned.runners.back().warming_for = condition->second.warming_for;
    }
    for (const snapshot::SavedInstanceType& type : saved.instance_types) {
        const auto index =
            std::find(book_.instance_types().begin(), book_.instance_types().end(), type.name) -
            book_.instance_types().begin();
        if (type.name.empty() && index != static_cast<std::ptrdiff_t>(book_.instance_types().size()))
            continue;
        const Histogram h = histogram_of(type.latency, weight, policy.max_samples);
        if (h.weight() > 0)
            learned.instance_types.push_back(
                {InstanceTypeId(static_cast<std::uint32_t>(index)), h, h.weight()});
    }
    learned.workloads.resize(directory_.workloads.size());
    for (const snapshot::SavedWorkload& workload : saved.workloads)
        if (const auto id = directory_.workloads.find(workload.name);
            id != directory_.workloads.end() &&
            static_cast<std::size_t>(id->second) < learned.workloads.size())
            learned.workloads[static_cast<std::size_t>(id->second)] =
                histogram_of(workload.latency, weight, policy.max_samples);
    if (weight > 0) learned.typical_cost = saved.typical_cost_us;
    if (weight > 0) balancer_.restore(learned);
    // An operator's hold does not decay: it lasts until an operator releases the runner.
    for (const snapshot::SavedOverride& order : saved.overrides)
        if (holds_.add(order.runner, {now - std::max<std::int64_t>(0, wall - order.since_ms) * 1000,
                                      order.operator_name, order.reason}))
            reapply_hold(order.runner);
    return learned.runners.size();
}

json::Object Dispatcher::snapshot_status() const {
    json::Object o;
    o["recalled"] = json::Value(restore_summary_);
    if (!snapshot_scheduler_) return o;
    const auto integer = [](auto n) { return json::Value(json::Number{std::to_string(n)}); };
    const snapshot::SnapshotStats& stats = snapshot_scheduler_->stats();
    o["written"] = integer(stats.written), o["failed"] = integer(stats.failed);
    if (stats.last_written_at > 0)
        o["last_ago_ms"] = integer((net::Loop::now() - stats.last_written_at) / 1000);
    o["held_up_us"] = integer(stats.loop_blocked), o["longest_held_up_us"] = integer(stats.max_loop_blocked);
    o["took_ms"] = integer(stats.duration / 1000);
    if (!stats.last_failure.empty()) o["last_failure"] = json::Value(stats.last_failure);
    return o;
}

}  // namespace gannethold::dispatcher
