// When a function's requests need a slot each, and when chance alone keeps its runners from being full.
#include "cluster/slots/slot_table.hpp"

#include <algorithm>
#include <map>
#include <string>

namespace gannethold::cluster {
namespace {

constexpr Micros kKept = 4'000'000;     // at least, once a function had to be kept again
constexpr std::uint32_t kFewSlots = 4;  // a runner with fewer is full by chance too often to be free

// Of requests that come by chance to a runner with so many slots and that mean load, the part that finds it
// full.
double blocked(double load, std::uint32_t slots) {
    double b = 1;
    for (std::uint32_t n = 1; n <= slots; ++n) b = load * b / (n + load * b);
    return b;
}

}  // namespace

void SlotTable::loads(Micros now, Session session, const LoadReport& m) {
    const auto front = proxies_.find(session);
    if (front == proxies_.end() || m.interval_ms == 0) return;
    for (const FunctionLoad& l : m.loads) {
        const auto known = functions_.find(l.service);
        if (known == functions_.end()) continue;
        Function& f = *known->second;
        if (!f.interested.contains(session)) note_function(session, f);
        f.parts[session] = {static_cast<double>(l.busy_ms) / m.interval_ms, l.requests * 1e3 / m.interval_ms,
                            now};
        if (l.requests > 0) f.last_used = now;
        touch(f);
    }
}

void SlotTable::outs(Micros now, Session session, const OutstandingReport& m) {
    if (!proxies_.contains(session)) return;
    for (const auto& [number, count] : m.counts) {
        const auto at = runners_.find(number);
        if (at == runners_.end()) continue;
        if (!at->second.told.contains(session)) note_runner(session, number);
        for (std::uint32_t n = 0; n < std::min(count, at->second.what.slots); ++n)
            at->second.given.push_back({session, 0, 0, now});
    }
}

void SlotTable::set_mode(Function& f, bool unrestricted, std::vector<ProxyMessage>& out) {
    if (f.unrestricted == unrestricted) return;
    f.unrestricted = unrestricted;
    f.parts.clear();
    for (const Session front : f.interested) out.push_back({front, FunctionMode{f.name, unrestricted}});
}

// By chance alone, how often would a runner be full if nobody asked?
void SlotTable::settle_mode(Micros now, Function& f, std::vector<ProxyMessage>& out) {
    while (!f.rejected.empty() && f.rejected.front() < now - 5'000'000) f.rejected.pop_front();
    if (!f.service || !options_.may_be_unrestricted || f.service->max_concurrency < kFewSlots)
        return set_mode(f, false, out);
    std::map<std::string, double> ready;
    for (const std::uint32_t number : f.runners)
        if (const RunnerSlots& r = runners_.at(number); r.state == RunnerState::ready && !r.draining)
            ready[r.what.zone] += 1;
    if (ready.empty()) return set_mode(f, false, out);
    // Fronts send near ones first: each zone's part goes to its own runners, what has none to all.
    double all = 0;
    double rate = 0;
    double near = 0;
    for (const auto& [zone, count] : ready) all += count;
    for (const auto& [zone, place] : f.places) {
        rate += place.rate;
        near += ready.contains(zone) ? place.rate : 0;
    }
    const double load = std::max(f.load_fast, f.load_slow);
    double turned = 0;
    for (const auto& [zone, count] : ready) {
        const auto place = f.places.find(zone);
        const double own = rate > 0 && place != f.places.end() ? place->second.rate / rate : 0;
        const double part = rate > 0 ? own + (1 - near / rate) * count / all : count / all;
        // Half as much again: chance has bad seconds too.
        turned += part * rate * 5 * blocked(1.5 * load * part / count, f.service->max_concurrency);
    }
    const double allowed = options_.rejection_slack;
    // The first one turned away is enough: of the allowed ones some more are on their way before all fronts
    // know.
    const bool known = now >= f.used_since + kKnown && now < f.last_used + kPause;
    if (f.unrestricted && (turned > 0.3 * allowed || !f.rejected.empty() || !known)) {
        f.coordinated_until = now + kKept;
        set_mode(f, false, out);
    } else if (!f.unrestricted && known && now >= f.coordinated_until && f.waiting.empty() &&
               turned < 0.08 * allowed && f.rejected.empty()) {
        set_mode(f, true, out);
    }
}

}  // namespace gannethold::cluster
