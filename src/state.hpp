// The records that the decision module keeps on workloads, customers, tasks and runners.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "balancer_settings.hpp"
#include "histogram.hpp"
#include "types.hpp"

namespace gannethold {

// What a second execution of a task may do. The first enumerator is the safe default.
enum class Effect { side_effecting, fingerprinted, idempotent };
// Which runners detect and drop a repeat of a task that one of them ran. The first is the safe default.
enum class RetryGroup { cell, zone, all };
enum class FinalAnswer { none, bounce, abandon };

// The settings of one workload and the latencies measured for it.
struct Workload {
    Workload() = default;
    Workload(const SettingsReader& settings, std::size_t index) {
        const std::string prefix = "workloads." + std::to_string(index) + ".";
        const std::string effect_name = settings.get_string(prefix + "effect", ""),
                          group_name = settings.get_string(prefix + "group", "");
        if (effect_name == "idempotent") effect = Effect::idempotent;
        if (effect_name == "fingerprinted") effect = Effect::fingerprinted;
        if (group_name == "zone") group = RetryGroup::zone;
        if (group_name == "all") group = RetryGroup::all;
        due_time = std::max<Micros>(1, settings.get_micros(prefix + "due_time_us", due_time));
        expiry = settings.get_micros(prefix + "expiry_us", expiry);
        retry_window = settings.get_micros(prefix + "window_us", 0);
        importance = settings.get_number(prefix + "importance", 1);
        late_value = settings.get_number(prefix + "tardy_importance", 0);
        stretch = settings.get_number(prefix + "aim_stretch",
                                      settings.get_list_number("trade.class_stretch", index, 0));
        instance_type = static_cast<int>(settings.get_number(
            prefix + "machine_kind", settings.get_list_number("trade.class_kind", index, -1)));
    }

    // Whether a task that may have run can be sent to any other runner without harm.
    bool can_repeat() const {
        return effect == Effect::idempotent || (effect == Effect::fingerprinted && group == RetryGroup::all);
    }
    bool fits(InstanceTypeId type) const {
        return instance_type < 0 || static_cast<int>(type) == instance_type;
    }
    // Whether each of the two runners drops a repeat of what the other one ran.
    bool is_same_group(const EndpointEntry& a, const EndpointEntry& b) const {
        return group == RetryGroup::all ||
               (group == RetryGroup::zone ? a.zone == b.zone : a.group == b.group);
    }

    Effect effect{};
    RetryGroup group{};
    Micros due_time = 1'000'000, expiry = 1'000'000, retry_window = 0;
    double stretch = 0, importance = 1, late_value = 0;
    int instance_type = -1;  // -1: any
    Histogram latency;       // relative to the due time
    // The smallest difference seen between the workload's expiry and what was left of it on arrival: the age
    // of a first attempt whose client allows less than the full expiry. -1: none seen.
    Micros min_age = -1;
    // The mean latency in microseconds.
    double typical_cost() const { return latency.mean(1) * static_cast<double>(due_time); }

    // The workloads under new settings. Latencies are relative to the due time, so they are taken over only
    // where the due time has not changed.
    static std::vector<Workload> reload(const std::vector<Workload>& before, const SettingsReader& settings,
                                        std::size_t count, const std::vector<WorkloadId>& learn_from) {
        std::vector<Workload> all;
        for (std::size_t i = 0; i < count; ++i) {
            Workload& workload = all.emplace_back(settings, i);
            const auto source =
                i < learn_from.size() ? static_cast<std::size_t>(learn_from[i]) : before.size();
            if (source >= before.size() || before[source].due_time != workload.due_time) continue;
            workload.latency = before[source].latency;
            if (before[source].expiry == workload.expiry) workload.min_age = before[source].min_age;
        }
        return all;
    }
};

// The rate limit of one customer, as a leaky bucket.
struct CustomerQuota {
    double used = 0;
    Micros updated_at = 0;

    // Counts one request and returns whether it is within the rate. A burst may have one second's allowance
    // or `min_burst` requests, whichever is more.
    bool take(double per_second, double min_burst, Micros now) {
        const double drained = per_second * static_cast<double>(now - updated_at) / 1e6;
        used = std::max(0.0, used - drained);
        updated_at = now;
        if (used > std::max(per_second, min_burst)) return false;
        used += 1;
        return true;
    }
};

// One attempt to run a task on a runner.
struct Assignment {
    RunnerId runner{};
    Micros sent_at = 0;
    double occupancy = 0;  // tasks at the runner when it was sent, this one included
    bool is_far = false;   // the runner is outside this dispatcher's partition
    bool is_sent = false, is_wanted = true, has_begun = false, has_ended = false, is_withdrawing = false,
         never_ran = false;
};

struct Task {
    TaskArrived arrival;
    Micros created_at = 0, due_at = 0, latest_start = 0, begin_deadline = 0, retry_after = 0,
           next_probe_at = 0;
    Micros late_from = 0;        // a task dispatched after this leaves one slot free for tasks still in time
    double cost = 0, value = 0;  // cost: microseconds on a typical runner
    std::vector<Assignment> assignments;
    std::optional<RunnerId> preferred_runner;  // chosen earlier; waits for a fresh report
    int max_assignments = 1;                   // by the settings in force when the task arrived
    bool is_queued = true, is_closed = false, is_late = false;
    FinalAnswer answer = FinalAnswer::none;

    bool all(bool Assignment::*flag) const {
        return std::all_of(assignments.begin(), assignments.end(),
                           [flag](const Assignment& assignment) { return assignment.*flag; });
    }
};

// Log lines on ejections, limited to one in kMinInterval so that an operator can read them.
class EjectionLog {
  public:
    void add(Micros now, RunnerId runner, const char* reason) {
        if (now < next_line_at_) return;
        next_line_at_ = now + kMinInterval;
        lines_.push_back("set aside runner " + std::to_string(static_cast<std::uint32_t>(runner)) + ": " +
                         reason);
    }
    std::vector<std::string> take_lines() { return std::exchange(lines_, {}); }

  private:
    static constexpr Micros kMinInterval = 250'000;
    std::vector<std::string> lines_;
    Micros next_line_at_ = 0;
};

// The open tasks by id.
class TaskTable {
  public:
    Task* find(TaskId id) {
        const auto found = tasks_.find(id);
        return found == tasks_.end() ? nullptr : &found->second;
    }
    Assignment* find_assignment(TaskId id, int number) {
        Task* const task = find(id);
        const auto index = static_cast<std::size_t>(number);
        return task && number >= 0 && index < task->assignments.size() ? &task->assignments[index] : nullptr;
    }
    void add(Task&& task) {
        const TaskId id = task.arrival.task;
        tasks_[id] = std::move(task);
    }
    void erase(TaskId id) { tasks_.erase(id); }
    std::unordered_map<TaskId, Task>& all() { return tasks_; }

  private:
    std::unordered_map<TaskId, Task> tasks_;
};

// One runner: its entry in the list, its health, its latency and its load.
struct Runner {
    EndpointEntry entry;
    bool is_ready = false, is_near = false, is_in_reach = true, is_probing = false, wants_probe = false,
         is_on_trial = false;
    bool is_unlisted = false;  // reported gone or missing from a list, where only draining is binding
    bool has_samples = false, has_new_samples = false;
    bool is_suspected = false;  // a connection to it broke, and it has not answered since
    bool is_restored = false;   // its estimates come from a predecessor and are not contradicted so far
    int contradictions = 0;     // consecutive live samples that contradict restored estimates
    float failure = 0;          // smoothed share of failed assignments
    float busy = 0;             // reported utilization
    double fraction = 0, smoothed = 1, min_latency = 0;
    Histogram latency;  // relative to the task's cost
    int in_flight = 0;
    int lost = 0;  // of those in flight, what its reports have not included for long
    double slots = 0, others_in_flight = 0;
    double max_near_dispatchers = 1;  // an upper bound on the dispatchers to which it is near
    Micros last_sent = 0, reported_at = -1, probed_at = -1;
    Micros full_until = 0, next_growth_at = 0, ejected_until = 0, warmup_from = -1;
    std::vector<std::pair<Micros, double>> warmup_sends;  // time and cost

    // Assignments that the runner is assumed to hold.
    int active() const { return in_flight - lost; }
    // Limited to 255, so that an entry with an absurd number does not allocate a huge table.
    std::size_t instance_type() const {
        return std::min(static_cast<std::size_t>(entry.instance_type), std::size_t{255});
    }
    void update_latency(double prior) {
        if (has_new_samples) smoothed = latency.geometric_mean(prior, 2);
        has_new_samples = false;
        // The minimum rises slowly, so that a lucky period does not set a value that is never reached again.
        min_latency = min_latency > 0 ? std::min(smoothed, min_latency * 1.02) : smoothed;
    }
    void forget_sends_before(Micros time) {
        std::erase_if(warmup_sends, [time](const auto& send) { return send.first < time; });
    }
    double slow_start_cost_since(Micros time) const {
        double sum = 0;
        for (const auto& [sent_at, cost] : warmup_sends) sum += sent_at >= time ? cost : 0;
        return sum;
    }
};

// A runner's row in the split table. The gradient step reads and writes it.
struct SplitRow {
    double fraction = 0, marginal = 0, eta = 0;
};

// The latency and the slots of all runners of one instance type.
struct InstanceType {
    Histogram latency;
    bool has_new_samples = false;
    double smoothed = 1, weight = 0, slots = 0;  // slots: 0 until a report or a start shows them

    // After the first samples only every eighth causes an update, since an update visits the whole fleet.
    void add(double value) {
        latency.add(value);
        has_new_samples = ++weight < 16 || (static_cast<int>(weight) % 8 == 0);
    }
    void update_latency(double prior) {
        smoothed = latency.geometric_mean(prior, 2);
        has_new_samples = false;
    }
};

// A load report, decoded by the names that the settings give to its values.
struct RunnerLoad {
    double free_slots = -1, held = -1, waiting = 0, busy = 0;

    // nullopt if a value is impossible: nothing in the report of a faulty runner is used.
    static std::optional<RunnerLoad> read(const std::vector<std::string>& names, const Report& report) {
        if (report.size() != names.size()) return std::nullopt;
        RunnerLoad load;
        for (std::size_t i = 0; i < report.size(); ++i) {
            if (!std::isfinite(report[i]) || report[i] < 0 || report[i] > 1e4) return std::nullopt;
            if (names[i] == "free_slots") load.free_slots = std::round(report[i]);
            if (names[i] == "held") load.held = std::round(report[i]);
            if (names[i] == "waiting") load.waiting = std::round(report[i]);
            if (names[i] == "busy") load.busy = std::min(report[i], 1.0);
        }
        return load;
    }
};

}  // namespace gannethold
