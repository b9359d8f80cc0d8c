#include "shadow/shadow.hpp"

#include <map>
#include <set>
#include <string>

#include "balancer_settings.hpp"

namespace gannethold::shadow {
namespace {

const std::string kWorkloads = "workloads.";

std::size_t workloads_in(const SettingsMap& stated) {
    return static_cast<std::size_t>(
        std::clamp(SettingsReader(stated).get_number("workloads.count", 0), 0.0, 256.0));
}

// What a turn decided, by what it is about.
struct Decided {
    std::map<TaskId, RunnerId> sent;
    std::set<TaskId> bounced, abandoned;
    std::set<std::pair<TaskId, int>> withdrawn;
    std::set<RunnerId> probed, closed;
    std::set<int> called;

    explicit Decided(const std::vector<Action>& actions) {
        for (const Action& action : actions) {
            if (const auto* a = std::get_if<Assign>(&action)) sent[a->task] = a->runner;
            if (const auto* b = std::get_if<Bounce>(&action)) bounced.insert(b->task);
            if (const auto* b = std::get_if<Abandon>(&action)) abandoned.insert(b->task);
            if (const auto* w = std::get_if<Withdraw>(&action)) withdrawn.emplace(w->task, w->assignment);
            if (const auto* p = std::get_if<Probe>(&action)) probed.insert(p->runner);
            if (const auto* c = std::get_if<CloseIdle>(&action)) closed.insert(c->runner);
            if (std::holds_alternative<WatchMembership>(action) ||
                std::holds_alternative<FetchMembership>(action))
                called.insert(0);
        }
    }
};

template <class Set>
void count_unlike(const Set& a, const Set& b, Kind kind, Counts& counts) {
    for (const auto& item : a)
        ++counts.decisions, counts.differ[static_cast<std::size_t>(kind)] += !b.contains(item);
    for (const auto& item : b)
        if (!a.contains(item)) ++counts.decisions, ++counts.differ[static_cast<std::size_t>(kind)];
}

}  // namespace

SettingsMap laid_over(const SettingsMap& in_force, const SettingsMap& other) {
    SettingsMap all;
    for (const auto& [name, value] : other)
        if (!name.starts_with(kWorkloads)) all.emplace(name, value);
    all[kWorkloads + "count"] = std::to_string(workloads_in(in_force));
    std::map<std::string, std::string> places;  // of the other's workloads, by name
    for (std::size_t i = 0; i < workloads_in(other); ++i) {
        const std::string at = kWorkloads + std::to_string(i) + ".";
        places[SettingsReader(other).get_string(at + "name", "")] = at;
    }
    for (std::size_t i = 0; i < workloads_in(in_force); ++i) {
        const std::string at = kWorkloads + std::to_string(i) + ".";
        const auto named = places.find(SettingsReader(in_force).get_string(at + "name", ""));
        const SettingsMap& from = named == places.end() ? in_force : other;
        const std::string from_at = named == places.end() ? at : named->second;
        for (auto clause = from.lower_bound(from_at);
             clause != from.end() && clause->first.starts_with(from_at); ++clause)
            all[at + clause->first.substr(from_at.size())] = clause->second;
    }
    return all;
}

void compare(const std::vector<Action>& done, const std::vector<Action>& other, Counts& counts) {
    const Decided a(done), b(other);
    const auto answered = [](const Decided& d, TaskId task) {
        return d.bounced.contains(task) || d.abandoned.contains(task);
    };
    for (const auto& [task, runner] : a.sent) {
        ++counts.decisions;
        const auto there = b.sent.find(task);
        if (there != b.sent.end())
            counts.differ[static_cast<std::size_t>(Kind::runner)] += there->second != runner;
        else if (!answered(b, task))
            ++counts.differ[static_cast<std::size_t>(Kind::held_or_sent)];
    }
    for (const auto& [task, runner] : b.sent)
        if (!a.sent.contains(task) && !answered(a, task))
            ++counts.decisions, ++counts.differ[static_cast<std::size_t>(Kind::held_or_sent)];
    count_unlike(a.bounced, b.bounced, Kind::bounced, counts);
    count_unlike(a.abandoned, b.abandoned, Kind::abandoned, counts);
    count_unlike(a.withdrawn, b.withdrawn, Kind::withdrawn, counts);
    count_unlike(a.probed, b.probed, Kind::probe, counts);
    count_unlike(a.called, b.called, Kind::list_call, counts);
    count_unlike(a.closed, b.closed, Kind::connection_closed, counts);
}

void Shadow::begin(Micros now, const Balancer& balancer, bool has_time) {
    copy_.reset();
    if (++turn_ < every_) return;
    turn_ = 0;
    if (!has_time) return;
    copy_ = std::make_unique<Balancer>(balancer);
    std::vector<WorkloadId> learn_from;
    for (std::size_t i = 0; i < workloads_in(other_); ++i) learn_from.push_back(static_cast<WorkloadId>(i));
    copy_->apply(now, SettingsChanged{other_, std::move(learn_from)});
}

void Shadow::settle(Micros now, const std::vector<Action>& done) {
    if (!copy_) return;
    std::vector<Action> other;
    copy_->collect_actions(now, other);
    ++counts_.turns;
    compare(done, other, counts_);
    copy_.reset();
}

}  // namespace gannethold::shadow
