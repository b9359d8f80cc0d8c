// Requests for slots: granted, refused or left waiting; and slots given back.
#include "cluster/slots/slot_table.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace gannethold::cluster {
namespace {

constexpr Micros kAside = 1'500'000;  // after a runner could not be reached

}  // namespace

Function* SlotTable::ask(Micros now, Session session, const AcquireRequest& ask,
                         std::vector<ProxyMessage>& out) {
    const auto front = proxies_.find(session);
    if (front == proxies_.end()) return nullptr;
    const auto known = functions_.find(ask.service);
    if (known == functions_.end() || !known->second->service) {
        out.push_back({session, AcquireDenied{ask.id, 500}});
        return nullptr;
    }
    Function& f = *known->second;
    if (now > f.last_used + kPause) {
        f.used_since = now;
        f.fast = Demand(0.7);
        f.slow = Demand(6);
    }
    f.last_used = now;
    touch(f);
    if (f.interested.insert(session).second) {
        note_function(session, f);
        for (const std::uint32_t number : f.runners)
            if (RunnerSlots& r = runners_.at(number); !r.draining) tell(r, session, out);
        if (f.unrestricted) out.push_back({session, FunctionMode{f.name, true}});
    }
    if (ask.is_retry) {
        while (!f.tried_again.empty() && f.tried_again.front() < now - options_.budget_window)
            f.tried_again.pop_front();
        // Two coordinators in one window, each with half: the budget holds over a change of the coordinator
        // too.
        if (static_cast<double>(f.tried_again.size()) + 1 > options_.budget_slack / 2) {
            out.push_back({session, AcquireDenied{ask.id, 1000}});
            return &f;
        }
        f.tried_again.push_back(now);
    } else {
        ++f.places[front->second.zone].asked;
        f.came += usual(ask.request_class) / 1e6;
    }
    if (RunnerSlots* const r = f.waiting.empty() ? choose(now, f, ask, front->second.zone) : nullptr) {
        grant(now, *r, session, ask, WaitReason::none, out);
        return &f;
    }
    if (const std::uint32_t later = too_long(f, ask); later > 0) {
        out.push_back({session, AcquireDenied{ask.id, later, lacks(f)}});
        return &f;
    }
    const WaitQueue::Waiting waiting{session,
                                     ask,
                                     now,
                                     now + ask.latency_target_ms * 1000LL,
                                     now + ask.deadline_ms * 1000LL,
                                     static_cast<Micros>(usual(ask.request_class)),
                                     lacks(f)};
    front->second.waiting[ask.id] = {&f, f.waiting.add(waiting)};
    serve(now, f, out);
    return &f;
}

RunnerSlots* SlotTable::choose(Micros now, Function& f, const AcquireRequest& ask, const std::string& zone) {
    if (const auto drawn = runners_.find(ask.preferred_runner);
        drawn != runners_.end() && drawn->second.function == &f && open(now, drawn->second))
        return &drawn->second;
    RunnerSlots* best = nullptr;
    const auto rank = [&](const RunnerSlots& s) {
        return (s.what.zone == zone ? 2.0 : 0.0) - static_cast<double>(s.out()) / s.what.slots;
    };
    for (const std::uint32_t number : f.runners) {
        RunnerSlots& r = runners_.at(number);
        if (open(now, r) && (!best || rank(r) > rank(*best))) best = &r;
    }
    return best;
}

double SlotTable::slots_of(const Function& f) const {
    double slots = 0;
    for (const std::uint32_t number : f.runners)
        if (const RunnerSlots& r = runners_.at(number); !r.draining) slots += r.what.slots;
    return slots;
}

// Against a line so long that whoever comes now would be given up at its end: it is told at once when the
// line will have shrunk, and what is in the line has a chance. Two fifths of its time are left for the new
// try. 0: it may wait.
std::uint32_t SlotTable::too_long(const Function& f, const AcquireRequest& ask) const {
    const double slots = slots_of(f);
    if (slots == 0) return 0;
    const double wait_ms = f.waiting.work() / slots / 1e3;
    const double bearable = std::max<double>(ask.latency_target_ms, ask.deadline_ms * 0.6);
    if (wait_ms <= bearable) return 0;
    return static_cast<std::uint32_t>(std::clamp(wait_ms - bearable / 2, 100.0, 3000.0));
}

// What a request that finds no slot is waiting for.
WaitReason SlotTable::lacks(const Function& f) const {
    for (const std::uint32_t number : f.runners)
        if (const RunnerSlots& r = runners_.at(number); r.state == RunnerState::ready && !r.draining)
            return WaitReason::slot;
    return f.no_room ? WaitReason::memory : WaitReason::start;
}

void SlotTable::grant(Micros now, RunnerSlots& r, Session session, const AcquireRequest& ask,
                      WaitReason waited, std::vector<ProxyMessage>& out) {
    r.given.push_back({session, ask.id, ask.request_class, now});
    if (!r.told.contains(session)) tell(r, session, out);
    out.push_back({session, AcquireGranted{ask.id, r.number, waited}});
}

void SlotTable::serve(Micros now, Function& f, std::vector<ProxyMessage>& out) {
    WaitQueue::Place place = 0;
    // A late one never pushes out one that can be in aim but in its turn.
    while (const WaitQueue::Waiting* const first =
               f.waiting.first(now, f.turns + 1 >= options_.late_turn, place)) {
        const auto front = proxies_.find(first->front);
        RunnerSlots* const r =
            front != proxies_.end() ? choose(now, f, first->ask, front->second.zone) : nullptr;
        if (front != proxies_.end() && !r) return;
        const WaitQueue::Waiting next = *first;
        const bool late = f.waiting.is_late(place);
        const bool turn = f.turns + 1 >= options_.late_turn;
        f.waiting.leave(place);
        if (!r) continue;
        f.turns = late ? 0 : f.turns + 1;
        if (const WaitQueue::Waiting* const oldest = f.waiting.oldest();
            oldest && oldest->since < next.since) {
            ++f.overtaken;
            const bool passed = now > oldest->target_at - oldest->work;
            priority_inversions_.add({now, f.name, next.front, oldest->front, next.ask.id, oldest->ask.id,
                                      next.ask.priority, oldest->ask.priority, next.target_at - now,
                                      oldest->target_at - now,
                                      late && turn ? "turn_of_a_late_one"
                                      : passed     ? "it_can_be_in_aim"
                                                   : "less_time_left"});
        }
        front->second.waiting.erase(next.ask.id);
        grant(now, *r, next.front, next.ask, next.waits_for, out);
    }
}

void SlotTable::release(Micros now, Session session, const Release& m, std::vector<ProxyMessage>& out) {
    const auto front = proxies_.find(session);
    if (front == proxies_.end()) return;
    if (const auto waits = front->second.waiting.find(m.id);
        m.id > 0 && waits != front->second.waiting.end()) {
        waits->second.first->waiting.leave(waits->second.second);
        front->second.waiting.erase(waits);
        return;
    }
    const auto at = runners_.find(m.runner);
    if (at == runners_.end()) return;
    RunnerSlots& r = at->second;
    const auto given = std::find_if(r.given.begin(), r.given.end(), [&](const RunnerSlots::Given& g) {
        return g.front == session && g.ask == m.id;
    });
    if (given != r.given.end()) {
        if (m.reason == ReleaseReason::answered && given->ask > 0)
            durations_[given->request_class].add(static_cast<double>(m.duration_ms) * 1e3);
        r.given.erase(given);
        if (r.given.empty()) r.idle_since = now;
    }
    Function& f = *r.function;
    if (m.reason == ReleaseReason::gone)
        return gone(now, std::string(r.what.runner_id), "another has its address", out);
    if (m.reason == ReleaseReason::unreachable) {
        // It had started and nobody listens there: tried once more after a while, since it may be the path.
        if (r.state == RunnerState::ready && r.given.empty() && r.aside_until > 0 && now >= r.aside_until &&
            now < r.aside_until + 2 * kAside)
            return gone(now, std::string(r.what.runner_id), "unreachable twice", out);
        if (now >= r.aside_until) r.aside_until = now + kAside;
    }
    if (m.reason == ReleaseReason::rejected) {
        r.aside_until = std::max(r.aside_until, now + 50'000);
        f.rejected.push_back(now);
        if (f.unrestricted) settle_mode(now, f, out);
    }
    if (!f.waiting.empty()) serve(now, f, out);
}

}  // namespace gannethold::cluster
