// One tiny host for the stories: a clock, a fleet that does what the story says, and a record of all actions.
#pragma once

#include <doctest/doctest.h>

#include <set>

#include "choice.hpp"

namespace gannethold {

inline StatedOrders plain_orders() {
    StatedOrders orders{{"workloads.count", "3"},           {"workloads.0.effect", "idempotent"},
                        {"workloads.1.effect", "fingerprinted"}, {"workloads.2.effect", "side-effecting"},
                        {"workloads.1.group", "cell"},      {"workloads.1.window_us", "4000000"},
                        {"workloads.0.importance", "1"},    {"workloads.1.importance", "9"},
                        {"rules.fall_multiple", "400"},     {"caps.max_assignments", "4"},
                        {"caps.cancelling", "true"},        {"reports.names", "free_slots,waiting,held"}};
    for (const std::string workload : {"workloads.0.", "workloads.1.", "workloads.2."})
        orders[workload + "due_time_us"] = "1000000", orders[workload + "expiry_us"] = "5000000";
    return orders;
}

struct FakeHost {
    explicit FakeHost(StatedOrders orders = plain_orders(), std::uint64_t seed = 1) : choice(orders, seed) {}

    Choice choice;
    Micros now = 10'000'000;
    std::vector<Action> all;
    std::vector<Assign> assigned;
    std::map<TaskId, int> answers;
    std::multiset<Micros> wakes;

    void tell(const Event& event) {
        std::vector<Action> out;
        choice.note(now, event);
        choice.settle(now, out);
        for (const Action& a : out) {
            if (const auto* w = std::get_if<WakeAt>(&a)) wakes.insert(w->at);
            if (const auto* b = std::get_if<Bounce>(&a)) ++answers[b->task];
            if (const auto* b = std::get_if<Abandon>(&a)) ++answers[b->task];
            if (const auto* s = std::get_if<Assign>(&a)) {
                CHECK(answers.count(s->task) == 0);
                assigned.push_back(*s);
            }
        }
        all.insert(all.end(), out.begin(), out.end());
    }
    void pass(Micros span) {
        const Micros until = now + span;
        while (!wakes.empty() && *wakes.begin() <= until) {
            now = std::max(now, *wakes.begin());
            wakes.erase(wakes.begin());
            tell(TimerDue{});
        }
        now = until;
    }

    static RosterEntry entry(unsigned id, RunnerState state = RunnerState::ready, unsigned group = 0) {
        return {.runner = RunnerId{id}, .group = GroupId{group}, .state = state};
    }
    void fleet(std::vector<RosterEntry> entries, RosterScope scope = RosterScope::complete) {
        tell(RosterNews{scope, 1, std::move(entries)});
    }
    static std::vector<RosterEntry> entries(unsigned n) {
        std::vector<RosterEntry> all;
        for (unsigned id = 1; id <= n; ++id) all.push_back(entry(id));
        return all;
    }
    void fleet(unsigned n, double slots) {
        fleet(entries(n));
        for (unsigned id = 1; id <= n; ++id) report(id, slots, 0);
    }
    void report(unsigned id, double free, double held) {
        tell(ProbeEnded{RunnerId{id}, Outcome::finished, 1000, {free, 0, held}});
    }
    TaskId ask(unsigned workload = 0, unsigned customer = 0) {
        TaskArrived a;
        a.task = TaskId{++asked};
        a.workload = WorkloadId{workload};
        a.customer = CustomerId{customer};
        a.expiry = now + 5'000'000;
        tell(a);
        return a.task;
    }
    // Ends the assignment that went out last, or the one named.
    void end(Outcome outcome, Micros elapsed = 300'000, int back = 0, Report report = {}) {
        const Assign& s = assigned[assigned.size() - 1 - static_cast<std::size_t>(back)];
        int number = -1;
        for (const Assign& each : assigned) {
            number += each.task == s.task;
            if (&each == &s) break;
        }
        AssignmentEnded e{s.task, outcome == Outcome::finished, 0, elapsed, s.runner, number, outcome, report};
        tell(e);
    }
    template <class A>
    int count() const {
        int n = 0;
        for (const Action& a : all) n += std::holds_alternative<A>(a);
        return n;
    }
    unsigned long long asked = 0;
};

}  // namespace gannethold
