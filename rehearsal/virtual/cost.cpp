#include "virtual/cost.hpp"

#include <algorithm>
#include <chrono>
#include <deque>
#include <unordered_map>
#include <utility>

#include "balancer.hpp"

namespace gannethold::rehearsal {
namespace {

constexpr int kRounds = 2'000;
constexpr double kSlots = 8;

class Clock {
  public:
    double us() const {
        return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - began_).count();
    }

  private:
    std::chrono::steady_clock::time_point began_ = std::chrono::steady_clock::now();
};

// The module with a clock of its own, and what it has out.
struct Bench {
    explicit Bench(std::uint64_t seed)
        : balancer({{"workloads.count", "1"},
                    {"workloads.0.effect", "idempotent"},
                    {"workloads.0.due_time_us", "1000000000"},
                    {"workloads.0.expiry_us", "2000000000"},
                    {"rules.fall_multiple", "1000"},
                    {"caps.max_assignments", "3"},
                    {"caps.cancelling", "true"},
                    {"reports.names", "free_slots,waiting,held"}},
                   seed) {}
    void tell(const Event& event) {
        balancer.apply(now, event);
        out.clear();
        balancer.collect_actions(now, out);
        for (const Action& a : out)
            if (const auto* s = std::get_if<Assign>(&a)) {
                sent.emplace_back(s->task, s->runner);
                ++load[s->runner];
            }
    }
    void arrive() {
        TaskArrived a;
        a.task = TaskId{++tasks};
        a.expiry = now + 2'000'000'000;
        tell(a);
    }
    void end_first() {
        const auto [task, runner] = sent.front();
        sent.pop_front();
        --load[runner];
        AssignmentEnded e;
        e.task = task, e.task_answered = true, e.elapsed = 50'000, e.runner = runner,
        e.outcome = Outcome::finished;
        e.report = {kSlots - load[runner], 0, static_cast<double>(load[runner])};
        tell(e);
    }

    Balancer balancer;
    Micros now = 10'000'000;
    std::vector<Action> out;
    std::deque<std::pair<TaskId, RunnerId>> sent;
    std::unordered_map<RunnerId, int> load;
    std::uint64_t tasks = 0;
};

}  // namespace

DecisionCost measure_decision(std::size_t runners, std::size_t held, std::uint64_t seed) {
    Bench bench(seed);
    MembershipUpdate news{UpdateScope::complete, 1, {}};
    for (std::size_t r = 0; r < runners; ++r) {
        EndpointEntry e;
        e.runner = RunnerId(static_cast<std::uint32_t>(r));
        news.entries.push_back(e);
    }
    bench.tell(news);
    for (std::size_t r = 0; r < runners; ++r)
        bench.tell(
            ProbeEnded{RunnerId(static_cast<std::uint32_t>(r)), Outcome::finished, 1'000, {kSlots, 0, 0}});
    // Where something is to wait, the fleet is filled first; else it is left half empty.
    const std::size_t fill = held > 0 ? runners * static_cast<std::size_t>(kSlots) + held : runners * 4;
    bench.now += 100;
    for (std::size_t i = 0; i < fill; ++i) {
        // All in one batch, as after a stall: only the filling is not measured.
        TaskArrived a;
        a.task = TaskId{++bench.tasks};
        a.expiry = bench.now + 2'000'000'000;
        bench.balancer.apply(bench.now, a);
    }
    bench.tell(TimerFired{});
    DecisionCost cost{runners, held, 0, 0, 0};
    const int rounds = held > 1'000 ? 200 : kRounds;
    double arrivals = 0, ends = 0;
    for (int i = 0; i < rounds; ++i) {
        bench.now += 10;
        const Clock arrival;
        bench.arrive();
        arrivals += arrival.us();
        if (bench.sent.empty()) continue;
        const Clock end;
        bench.end_first();
        ends += end.us();
    }
    cost.arrival_us = arrivals / rounds, cost.end_us = ends / rounds;
    double periods = 0;
    for (int i = 0; i < 5; ++i) {
        bench.now += 1'100'000;
        const Clock period;
        bench.tell(TimerFired{});
        periods += period.us();
    }
    cost.period_us = periods / 5;
    return cost;
}

}  // namespace gannethold::rehearsal
