#include "shadow/shadow.hpp"

#include <map>
#include <set>
#include <string>

#include "balancer_settings.hpp"

namespace gannethold::shadow {
namespace {

const std::string kWorkloads = "workloads.";

std::size_t workload_count(const SettingsMap& settings) {
    return static_cast<std::size_t>(
        std::clamp(SettingsReader(settings).get_number("workloads.count", 0), 0.0, 256.0));
}

// The decisions of a turn, by kind.
struct Decisions {
    std::map<TaskId, RunnerId> assigned;
    std::set<TaskId> bounced, abandoned;
    std::set<std::pair<TaskId, int>> withdrawn;
    std::set<RunnerId> probed, closed;
    std::set<int> list_calls;

    explicit Decisions(const std::vector<Action>& actions) {
        for (const Action& action : actions) {
            if (const auto* a = std::get_if<Assign>(&action)) assigned[a->task] = a->runner;
            if (const auto* b = std::get_if<Bounce>(&action)) bounced.insert(b->task);
            if (const auto* b = std::get_if<Abandon>(&action)) abandoned.insert(b->task);
            if (const auto* w = std::get_if<Withdraw>(&action)) withdrawn.emplace(w->task, w->assignment);
            if (const auto* p = std::get_if<Probe>(&action)) probed.insert(p->runner);
            if (const auto* c = std::get_if<CloseIdle>(&action)) closed.insert(c->runner);
            if (std::holds_alternative<WatchMembership>(action) ||
                std::holds_alternative<FetchMembership>(action))
                list_calls.insert(0);
        }
    }
};

template <class Set>
void count_differences(const Set& a, const Set& b, DecisionKind kind, Counts& counts) {
    for (const auto& item : a)
        ++counts.decisions, counts.differ[static_cast<std::size_t>(kind)] += !b.contains(item);
    for (const auto& item : b)
        if (!a.contains(item)) ++counts.decisions, ++counts.differ[static_cast<std::size_t>(kind)];
}

}  // namespace

SettingsMap merge_settings(const SettingsMap& in_force, const SettingsMap& other) {
    SettingsMap all;
    for (const auto& [name, value] : other)
        if (!name.starts_with(kWorkloads)) all.emplace(name, value);
    all[kWorkloads + "count"] = std::to_string(workload_count(in_force));
    std::map<std::string, std::string> prefixes;  // of the other workloads' settings, by name
    for (std::size_t i = 0; i < workload_count(other); ++i) {
        const std::string prefix = kWorkloads + std::to_string(i) + ".";
        prefixes[SettingsReader(other).get_string(prefix + "name", "")] = prefix;
    }
    for (std::size_t i = 0; i < workload_count(in_force); ++i) {
        const std::string prefix = kWorkloads + std::to_string(i) + ".";
        const auto same_name = prefixes.find(SettingsReader(in_force).get_string(prefix + "name", ""));
        const SettingsMap& from = same_name == prefixes.end() ? in_force : other;
        const std::string from_prefix = same_name == prefixes.end() ? prefix : same_name->second;
        for (auto setting = from.lower_bound(from_prefix);
             setting != from.end() && setting->first.starts_with(from_prefix); ++setting)
            all[prefix + setting->first.substr(from_prefix.size())] = setting->second;
    }
    return all;
}

void compare(const std::vector<Action>& executed, const std::vector<Action>& other, Counts& counts) {
    const Decisions a(executed), b(other);
    const auto answered = [](const Decisions& d, TaskId task) {
        return d.bounced.contains(task) || d.abandoned.contains(task);
    };
    for (const auto& [task, runner] : a.assigned) {
        ++counts.decisions;
        const auto other_runner = b.assigned.find(task);
        if (other_runner != b.assigned.end())
            counts.differ[static_cast<std::size_t>(DecisionKind::runner)] += other_runner->second != runner;
        else if (!answered(b, task))
            ++counts.differ[static_cast<std::size_t>(DecisionKind::queued_or_assigned)];
    }
    for (const auto& [task, runner] : b.assigned)
        if (!a.assigned.contains(task) && !answered(a, task))
            ++counts.decisions, ++counts.differ[static_cast<std::size_t>(DecisionKind::queued_or_assigned)];
    count_differences(a.bounced, b.bounced, DecisionKind::bounced, counts);
    count_differences(a.abandoned, b.abandoned, DecisionKind::abandoned, counts);
    count_differences(a.withdrawn, b.withdrawn, DecisionKind::withdrawn, counts);
    count_differences(a.probed, b.probed, DecisionKind::probe, counts);
    count_differences(a.list_calls, b.list_calls, DecisionKind::list_call, counts);
    count_differences(a.closed, b.closed, DecisionKind::connection_closed, counts);
}

void Shadow::begin_turn(Micros now, const Balancer& balancer, bool has_time) {
    copy_.reset();
    if (++turn_ < sample_interval_) return;
    turn_ = 0;
    if (!has_time) return;
    copy_ = std::make_unique<Balancer>(balancer);
    std::vector<WorkloadId> learn_from;
    for (std::size_t i = 0; i < workload_count(other_); ++i) learn_from.push_back(static_cast<WorkloadId>(i));
    copy_->apply(now, SettingsChanged{other_, std::move(learn_from)});
}

void Shadow::compare_turn(Micros now, const std::vector<Action>& executed) {
    if (!copy_) return;
    std::vector<Action> other;
    copy_->collect_actions(now, other);
    ++counts_.turns;
    compare(executed, other, counts_);
    copy_.reset();
}

}  // namespace gannethold::shadow
