// Slow start: a runner that has just started is chosen less often, and the work sent to it has a budget.
#pragma once

#include "balancer/capacity.hpp"

namespace gannethold::balancer {

class SlowStart : protected Capacity {
  protected:
    using Capacity::Capacity;
    double slow_start_factor(const Runner& r) const {
        if (r.warmup_from < 0) return 1;
        const double age = static_cast<double>(now_ - r.warmup_from) / static_cast<double>(settings_.warmup);
        return std::min(1.0, settings_.warmup_minimum + (1 - settings_.warmup_minimum) * std::max(0.0, age));
    }

    // A small task counts as a typical one: many small tasks overload a runner just as well.
    double slow_start_cost(const Runner& r, const Task& task) const {
        return std::max(task.cost, typical_cost_) * latency_of(r);
    }

    void record_slow_start_send(Runner& r, double cost) {
        if (slow_start_factor(r) >= 1) return;
        r.forget_sends_before(now_ - settings_.warmup_window);
        r.warmup_sends.emplace_back(now_, cost);
    }

    bool slow_start_allows(const Runner& r, double cost) const {
        const double factor = slow_start_factor(r);
        if (factor >= 1) return true;
        const double sent = r.slow_start_cost_since(now_ - settings_.warmup_window);
        const double budget = settings_.warmup_multiple * factor * slots_of(r) * settings_.warmup_window;
        // The dispatchers that have the runner near share the budget evenly.
        if (is_partitioned()) return r.is_near && (sent + cost) * r.max_near_dispatchers <= budget;
        // Half of an even part is free to use. Larger tasks are sent in turns, by as many dispatchers per
        // window as the whole budget allows, while the budget covers what the runner holds, what may end and
        // be replaced within a window, and half a task more, since some are heavy.
        if (sent + cost <= budget / 2 / settings_.dispatchers) return true;
        const double held = occupancy(r) + 1, replaced = factor * held * settings_.warmup_window;
        return sent == 0 && (held + 0.5) * cost + replaced <= budget && is_own_turn(r, budget / cost);
    }

    // Whether this dispatcher is among the first `count` in the order in which all dispatchers may send to a
    // runner in slow start. The order is hashed anew for each window from values that all of them know. The
    // turns are spread over a window, so that not all begin at once, and each lasts for one window's length.
    bool is_own_turn(const Runner& r, double count) const {
        const Micros length = settings_.warmup_window;
        const Micros age = std::max<Micros>(0, now_ - r.warmup_from), window = age / length;
        const auto position_in = [&](Micros w) {
            const auto all = static_cast<std::uint64_t>(settings_.dispatchers);
            std::uint64_t hash = static_cast<std::uint64_t>(r.entry.runner) << 32;
            hash = (hash | static_cast<std::uint64_t>(w)) * 0x9E3779B97F4A7C15;
            hash = (hash ^ hash >> 31) * 0xBF58476D1CE4E5B9;
            return static_cast<double>(((hash >> 40) + static_cast<std::uint64_t>(settings_.index)) % all) +
                   static_cast<double>(hash >> 8 & 0xFFFF) / 0x10000;
        };
        const double elapsed = static_cast<double>(age % length) / static_cast<double>(length);
        const double before = window > 0 ? position_in(window - 1) : HUGE_VAL;
        return position_in(window) <= count * elapsed || (before <= count && before > count * elapsed);
    }
};

}  // namespace gannethold::balancer
