// What the slot table does by time: loads are sampled, and who waits in vain is answered.
#include "cluster/slots/slot_table.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace gannethold::cluster {
namespace {

constexpr Micros kForget = 20'000'000;     // a function that nobody asked for so long is active no more
constexpr std::uint32_t kComeBack = 1000;  // ms, for who is given up in a line that is too long
// Of the time that a place in the line is thought to take: work is not all of it.
constexpr double kTurnMargin = 1.25;

}  // namespace

double SlotTable::expected_wait(Micros now, const Function& f) const {
    // When each slot comes free, by what is at work there; then one after the other for those who wait.
    std::vector<double> free_in;
    for (const std::uint32_t number : f.runners) {
        const RunnerSlots& r = runners_.at(number);
        if (r.draining) continue;
        double first = 0;
        if (r.state == RunnerState::starting)
            first = std::max(
                50'000.0,
                static_cast<double>(r.began + (f.service ? f.service->boot_duration : 1'000'000) - now));
        else if (now < r.aside_until)
            first = static_cast<double>(r.aside_until - now);
        for (const RunnerSlots::Given& g : r.given)
            free_in.push_back(
                std::max(usual(g.request_class) - static_cast<double>(now - g.since), 20'000.0));
        for (std::uint32_t i = r.out(); i < r.what.slots; ++i) free_in.push_back(first);
    }
    if (free_in.empty()) return 1e12;
    const auto later = std::greater<>();
    std::make_heap(free_in.begin(), free_in.end(), later);
    double last = free_in.front();
    for (const auto& [place, w] : f.waiting.all()) {
        std::pop_heap(free_in.begin(), free_in.end(), later);
        last = free_in.back();
        free_in.back() += static_cast<double>(w.work);
        std::push_heap(free_in.begin(), free_in.end(), later);
    }
    return last;
}

void SlotTable::tick(Micros now, std::vector<ProxyMessage>& out) {
    constexpr double kStep = static_cast<double>(kSample) / 1e6;
    for (const std::uint32_t number : std::set<std::uint32_t>(starting_)) watch(runners_.at(number), out);
    std::erase_if(ended_, [&](const auto& one) { return one.second + 60'000'000 < now; });
    for (auto i = active_.begin(); i != active_.end();) {
        Function& f = **i;
        double out_now = 0;
        double free_load = 0;
        for (const std::uint32_t number : f.runners) out_now += runners_.at(number).out();
        std::map<std::string, double> reported;
        for (const auto& [session, part] : f.parts) {
            if (now > part.at + 3'000'000) continue;
            free_load += part.load;
            if (const std::string* zone = zone_of(session)) reported[*zone] += part.rate;
        }
        const double came = std::exchange(f.came, 0) + free_load * kStep;
        f.fast.sample(came, kStep);
        f.slow.sample(came, kStep);
        f.busy_fast += (out_now - f.busy_fast) * (kStep / 0.7);
        f.busy_slow += (out_now - f.busy_slow) * (kStep / 6.0);
        f.load_fast = std::max(f.busy_fast, f.fast.slots());
        f.load_slow = std::max(f.busy_slow, f.slow.slots());
        for (const auto& [zone, rate] : reported) f.places[zone];
        f.rate = 0;
        for (auto& [zone, place] : f.places) {
            const auto r = reported.find(zone);
            const double seen = place.asked / kStep + (r == reported.end() ? 0 : r->second);
            place.asked = 0;
            place.rate += (seen - place.rate) * std::min(1.0, kStep / 3.0);
            f.rate += place.rate;
        }
        // What can not be in time any more is answered at once; so is who has become late and whose turn
        // would come too late.
        WaitQueue::Place place = 0;
        while (const WaitQueue::Waiting* const w = f.waiting.hopeless(now, place)) {
            out.push_back({w->front, AcquireDenied{w->ask.id, 0, w->waits_for}});
            if (const auto front = proxies_.find(w->front); front != proxies_.end())
                front->second.waiting.erase(w->ask.id);
            f.waiting.leave(place);
        }
        const double slots = slots_of(f);
        while (slots > 0 && !f.waiting.empty()) {
            const double work = f.waiting.work() / static_cast<double>(f.waiting.size());
            const double turns = f.waiting.any_in_aim() ? options_.late_turn : 1;
            const double per_place = kTurnMargin * work / slots * turns;
            const WaitQueue::Waiting* const w = f.waiting.out_of_reach(now, per_place, place);
            if (!w) break;
            out.push_back({w->front, AcquireDenied{w->ask.id, kComeBack, w->waits_for}});
            if (const auto front = proxies_.find(w->front); front != proxies_.end())
                front->second.waiting.erase(w->ask.id);
            f.waiting.leave(place);
        }
        settle_mode(now, f, out);
        if (!f.waiting.empty()) serve(now, f, out);
        // A function that is to be warm is planned for whether or not anyone asks.
        if (f.runners.empty() && f.waiting.empty() && now > f.last_used + kForget &&
            !(f.service && f.service->needs_warm_runner())) {
            f.active = false;
            i = active_.erase(i);
        } else {
            ++i;
        }
    }
}

}  // namespace gannethold::cluster
