// What the decision module keeps on workloads, tasks and runners: plain records, nothing decided here.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "histogram.hpp"
#include "standing_orders.hpp"
#include "types.hpp"

namespace gannethold {

enum class Effect { side_effecting, fingerprinted, idempotent };  // the first is the safe reading
enum class RepeatGroup { cell, zone, all };                       // likewise
enum class Verdict { none, bounce, abandon };

struct Workload {
    Workload() = default;
    Workload(const Stated& orders, std::size_t place) {
        const std::string at = "workloads." + std::to_string(place) + ".";
        const std::string told_effect = orders.word(at + "effect", ""),
                          told_group = orders.word(at + "group", "");
        if (told_effect == "idempotent") effect = Effect::idempotent;
        if (told_effect == "fingerprinted") effect = Effect::fingerprinted;
        if (told_group == "zone") group = RepeatGroup::zone;
        if (told_group == "all") group = RepeatGroup::all;
        due = std::max<Micros>(1, orders.micros(at + "due_time_us", due));
        expiry = orders.micros(at + "expiry_us", expiry);
        window = orders.micros(at + "window_us", 0);
        importance = orders.number(at + "importance", 1);
        tardy = orders.number(at + "tardy_importance", 0);
        stretch = orders.number(at + "aim_stretch", orders.number_in("trade.class_stretch", place, 0));
        kind = static_cast<int>(
            orders.number(at + "machine_kind", orders.number_in("trade.class_kind", place, -1)));
    }

    bool repeats_anywhere() const {
        return effect == Effect::idempotent || (effect == Effect::fingerprinted && group == RepeatGroup::all);
    }
    bool runs_on(KindId which) const { return kind < 0 || static_cast<int>(which) == kind; }
    // Whether one would drop a repeat of what the other ran.
    bool same_group(const RosterEntry& a, const RosterEntry& b) const {
        return group == RepeatGroup::all ||
               (group == RepeatGroup::zone ? a.zone == b.zone : a.group == b.group);
    }

    Effect effect{};
    RepeatGroup group{};
    Micros due = 1'000'000, expiry = 1'000'000, window = 0;
    double stretch = 0, importance = 1, tardy = 0;
    int kind = -1;
    Histogram latency;       // over the due time
    Micros least_late = -1;  // what a first try's age looks like, where a try has less than the expiry
    double typical() const { return latency.mean(1) * static_cast<double>(due); }

    // All of them by other orders. What was learned goes along where it still says the same: it is kept over
    // the due time.
    static std::vector<Workload> restated(const std::vector<Workload>& before, const Stated& orders,
                                          std::size_t count, const std::vector<WorkloadId>& learn_from) {
        std::vector<Workload> all;
        for (std::size_t i = 0; i < count; ++i) {
            Workload& w = all.emplace_back(orders, i);
            const auto from = i < learn_from.size() ? static_cast<std::size_t>(learn_from[i]) : before.size();
            if (from >= before.size() || before[from].due != w.due) continue;
            w.latency = before[from].latency;
            if (before[from].expiry == w.expiry) w.least_late = before[from].least_late;
        }
        return all;
    }
};

struct Customer {
    double spent = 0;
    Micros at = 0;

    // Whether one more is within what a second allows; at once a second's worth may come, or a few.
    bool spend(double per_second, double few, Micros now) {
        const double since = per_second * static_cast<double>(now - at) / 1e6;
        spent = std::max(0.0, spent - since);
        at = now;
        if (spent > std::max(per_second, few)) return false;
        spent += 1;
        return true;
    }
};

struct Leg {
    RunnerId runner{};
    Micros sent_at = 0;
    double crowd = 0;  // what the runner then held, this one included
    bool far = false;  // beyond the own part of the fleet
    bool sent = false, wanted = true, begun = false, ended = false, withdrawing = false, never_ran = false;
};

struct Task {
    TaskArrived asked;
    Micros born = 0, due = 0, latest_start = 0, last_hope = 0, stay_away = 0, ask_after = 0;
    Micros spare_from = 0;       // from here on too late to be in time: it takes only what others leave
    double cost = 0, worth = 0;  // cost: microseconds that a typical runner takes
    std::vector<Leg> legs;
    std::optional<RunnerId> drawn;
    int most_legs = 1;  // by the orders under which it came
    bool held = true, over = false, overdue = false;
    Verdict verdict = Verdict::none;

    bool all_legs(bool Leg::*is) const {
        return std::all_of(legs.begin(), legs.end(), [is](const Leg& leg) { return leg.*is; });
    }
};

// Lines for the operators, few enough to be read.
class Logbook {
  public:
    void say(Micros now, RunnerId about, const char* why) {
        if (now < next_) return;
        next_ = now + 250'000;
        lines_.push_back("set aside runner " + std::to_string(static_cast<std::uint32_t>(about)) + ": " +
                         why);
    }
    std::vector<std::string> taken() { return std::exchange(lines_, {}); }

  private:
    std::vector<std::string> lines_;
    Micros next_ = 0;
};

class TaskBook {
  public:
    Task* find(TaskId id) {
        const auto found = tasks_.find(id);
        return found == tasks_.end() ? nullptr : &found->second;
    }
    Leg* leg(TaskId id, int number) {
        Task* const t = find(id);
        const auto place = static_cast<std::size_t>(number);
        return t && number >= 0 && place < t->legs.size() ? &t->legs[place] : nullptr;
    }
    void add(Task&& t) {
        const TaskId id = t.asked.task;
        tasks_[id] = std::move(t);
    }
    void erase(TaskId id) { tasks_.erase(id); }
    std::unordered_map<TaskId, Task>& all() { return tasks_; }

  private:
    std::unordered_map<TaskId, Task> tasks_;
};

struct Runner {
    RosterEntry entry;
    bool ready = false, near = false, in_reach = true, probing = false, want_probe = false, trial = false;
    bool unlisted = false;                  // called gone, or left out of a list, where that does not bind
    bool sampled = false, stirred = false;  // has samples of its own; has new ones
    bool doubted = false;                   // a connection to it broke, and it has not answered since
    bool told_of = false;    // what is believed of it was handed on, and not contradicted so far
    int contradictions = 0;  // by live samples in a row
    float blame = 0, busy = 0;
    double fraction = 0, smoothed = 1, least = 0;
    Histogram latency;  // over the cost
    int out = 0;
    int lost = 0;  // of those out, what its reports have not named for long; its answers never came
    double slots = 0, others = 0;
    double sharers = 1;  // dispatchers that have it near, at most
    Micros last_sent = 0, reported_at = -1, probed_at = -1;
    Micros full_until = 0, grow_at = 0, aside_until = 0, cold_from = -1;
    std::vector<std::pair<Micros, double>> cold_sends;

    int there() const { return out - lost; }
    // No real fleet has more kinds: against an entry that names an absurd one.
    std::size_t kind() const { return std::min(static_cast<std::size_t>(entry.kind), std::size_t{255}); }
    void learn(double prior) {
        if (stirred) smoothed = latency.middle(prior, 2);
        stirred = false;
        // The least seen is let go slowly, against a lucky spell that is never reached again.
        least = least > 0 ? std::min(smoothed, least * 1.02) : smoothed;
    }
    void forget_cold(Micros before) {
        std::erase_if(cold_sends, [before](const auto& send) { return send.first < before; });
    }
    double cold_sent_since(Micros then) const {
        double sent = 0;
        for (const auto& [at, cost] : cold_sends) sent += at >= then ? cost : 0;
        return sent;
    }
};

// A runner's row in the split table.
struct Share {
    double fraction = 0, marginal = 0, eta = 0;
};

// What the runners of one kind of machine did. Small changes are left out: each concerns a whole fleet.
struct Kind {
    Histogram latency;
    bool stirred = false;
    double smoothed = 1, weight = 0,
           slots = 0;  // slots: as reports tell them or begins show, 0 before any has

    void add(double value) {
        latency.add(value);
        stirred = ++weight < 16 || (static_cast<int>(weight) % 8 == 0);
    }
    void learn(double fleet) {
        smoothed = latency.middle(fleet, 2);
        stirred = false;
    }
};

// A report read by the names that the standing orders give its values.
struct Load {
    double free = -1, held = -1, waiting = 0, busy = 0;

    // Against broken or lying runners: a report with a value that cannot be is not heard at all.
    static std::optional<Load> read(const std::vector<std::string>& names, const Report& report) {
        if (report.size() != names.size()) return std::nullopt;
        Load load;
        for (std::size_t i = 0; i < report.size(); ++i) {
            if (!std::isfinite(report[i]) || report[i] < 0 || report[i] > 1e4) return std::nullopt;
            if (names[i] == "free_slots") load.free = std::round(report[i]);
            if (names[i] == "held") load.held = std::round(report[i]);
            if (names[i] == "waiting") load.waiting = std::round(report[i]);
            if (names[i] == "busy") load.busy = std::min(report[i], 1.0);
        }
        return load;
    }
};

}  // namespace gannethold
