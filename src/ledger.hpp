// What the decision module keeps on workloads, tasks and runners: plain records, nothing decided here.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
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
        kind = static_cast<int>(orders.number_in("trade.class_kind", place, -1));
    }

    Effect effect{};
    RepeatGroup group{};
    Micros due = 1'000'000, expiry = 1'000'000, window = 0;
    double stretch = 0, importance = 1, tardy = 0;
    int kind = -1;
    Histogram latency;       // over the due time
    Micros least_late = -1;  // what a first try's age looks like, where a try has less than the expiry
    double typical() const { return latency.mean(1) * static_cast<double>(due); }
};

struct Customer {
    double spent = 0;
    Micros at = 0;
};

struct Leg {
    RunnerId runner{};
    Micros sent_at = 0;
    double crowd = 0;  // what the runner then held, this one included
    bool sent = false, wanted = true, ended = false, withdrawing = false, never_ran = false;
};

struct Task {
    TaskArrived asked;
    Micros born = 0, due = 0, wanted = 0, latest_start = 0, stay_away = 0;
    double cost = 0, worth = 0;  // cost: microseconds that a typical runner takes
    std::vector<Leg> legs;
    std::optional<RunnerId> drawn;
    bool held = true, over = false, streaming = false;
    Verdict verdict = Verdict::none;

    bool all_legs(bool Leg::*is) const {
        return std::all_of(legs.begin(), legs.end(), [is](const Leg& leg) { return leg.*is; });
    }
};

struct Runner {
    RosterEntry entry;
    bool ready = false, probing = false, want_probe = false, trial = false;
    double fraction = 0, smoothed = 1, least = 0, busy = 0, blame = 0;
    Histogram latency;  // over the cost
    int out = 0, told_out = 0;
    double slots = 0, others = 0;
    Micros last_sent = 0, reported_at = -1, probed_at = -1;
    Micros full_until = 0, grow_at = 0, aside_until = 0, cold_from = -1;
    std::deque<std::pair<Micros, double>> cold_sends;
    std::map<PeerId, int> peers_out;
};

}  // namespace gannethold
