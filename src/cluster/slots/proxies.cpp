// The slot table's proxies: their sessions, and what they are told of runners.
#include "cluster/slots/slot_table.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace gannethold::cluster {
namespace {

// For as many more, so that what was gone through is not gone through again with the next one.
template <class Item>
void leave_room(std::vector<Item>& all) {
    all.reserve(2 * all.size() + 1);
}

}  // namespace

void SlotTable::on_proxy_registered(Micros now, Session session, const RegisterRequest& registration,
                                    std::vector<ProxyMessage>& out) {
    ProxySession& front = proxies_[session];
    front.name = registration.name;
    front.zone = registration.zone;
    for (const RunnerInfo& held : registration.runners) {
        if (ended_.contains(held.runner_id)) continue;
        const auto known = by_name_.find(held.runner_id);
        RunnerSlots& r = known != by_name_.end() ? runners_.at(known->second) : add(now, held);
        if (held.reachable && r.state == RunnerState::starting) {
            r.state = RunnerState::ready;
            starting_.erase(r.number);
            tell_all(r, out);
        }
        for (std::uint32_t n = 0; n < held.outstanding; ++n) r.given.push_back({session, 0, 0, now});
        if (r.function->interested.insert(session).second) note_function(session, *r.function);
        touch(*r.function);
        tell(r, session, out);
    }
    // What it takes unasked was free under the coordinator before: so it stays, unless it has been kept here
    // already; by the loads that are told with it the next sample judges it like any other.
    for (const FunctionLoad& l : registration.unrestricted) {
        Function& f = function(l.service);
        if (f.interested.insert(session).second) note_function(session, f);
        if (now < f.coordinated_until) {
            out.push_back({session, FunctionMode{f.name, false}});
            continue;
        }
        f.used_since = std::min(f.used_since, now - kKnown);
        f.last_used = now;
        f.parts[session] = {static_cast<double>(l.busy_ms) / 1e3, static_cast<double>(l.requests), now};
        touch(f);
        if (!f.unrestricted) {
            f.unrestricted = true;
            for (const Session other : f.interested)
                if (other != session) out.push_back({other, FunctionMode{f.name, true}});
        }
    }
    // One that kept on asking for what is free by now.
    std::set<std::string> kept;
    for (const RunnerInfo& held : registration.runners) kept.insert(held.service);
    for (const FunctionLoad& l : registration.unrestricted) kept.erase(l.service);
    for (const std::string& name : kept)
        if (function(name).unrestricted) out.push_back({session, FunctionMode{name, true}});
    for (const std::uint32_t number : std::set<std::uint32_t>(starting_)) watch(runners_.at(number), out);
}

void SlotTable::note_function(Session session, Function& f) {
    const auto front = proxies_.find(session);
    if (front == proxies_.end()) return;
    std::vector<Function*>& all = front->second.functions;
    if (all.size() == all.capacity()) {
        std::sort(all.begin(), all.end());
        all.erase(std::unique(all.begin(), all.end()), all.end());
        leave_room(all);
    }
    all.push_back(&f);
}

void SlotTable::note_runner(Session session, std::uint32_t number) {
    const auto front = proxies_.find(session);
    if (front == proxies_.end()) return;
    std::vector<std::uint32_t>& all = front->second.runners;
    if (all.size() == all.capacity()) {
        std::sort(all.begin(), all.end());
        all.erase(std::unique(all.begin(), all.end()), all.end());
        std::erase_if(all, [&](std::uint32_t known) { return !runners_.contains(known); });
        leave_room(all);
    }
    all.push_back(number);
}

void SlotTable::on_proxy_disconnected(Micros now, Session session, std::vector<ProxyMessage>& out) {
    const auto front = proxies_.find(session);
    if (front == proxies_.end()) return;
    const std::vector<Function*> functions = std::move(front->second.functions);
    std::vector<std::uint32_t> numbers = std::move(front->second.runners);
    proxies_.erase(front);
    for (Function* const f : functions) {
        f->interested.erase(session);
        f->parts.erase(session);
        f->waiting.on_proxy_disconnected(session);
    }
    std::sort(numbers.begin(), numbers.end());
    for (const std::uint32_t number : numbers) {
        const auto at = runners_.find(number);
        if (at == runners_.end()) continue;
        RunnerSlots& r = at->second;
        r.told.erase(session);
        // What it had out may be at work still; a runner drops most of it as the connection ends.
        if (std::erase_if(r.given, [&](const RunnerSlots::Given& g) { return g.front == session; }) > 0)
            r.aside_until = std::max(r.aside_until, now + 250'000);
        if (r.watcher == session) {
            r.watcher = 0;
            watch(r, out);
        }
    }
}

void SlotTable::tell(RunnerSlots& r, Session front, std::vector<ProxyMessage>& out, bool watch) {
    // A front that was not told its number knows a runner by its name only.
    const bool first = r.told.insert(front).second;
    if (first) note_runner(front, r.number);
    const bool gone = r.draining || r.state == RunnerState::gone;
    RunnerUpdate told{r.number, gone ? RunnerState::gone : r.state, gone && !first ? RunnerInfo{} : r.what,
                      watch};
    told.runner.outstanding = 0;
    out.push_back({front, std::move(told)});
}

void SlotTable::tell_all(RunnerSlots& r, std::vector<ProxyMessage>& out) {
    // Whoever was told of it once, and whoever uses the function.
    const std::set<Session>& interested = r.function->interested;
    std::vector<Session> all;
    all.reserve(interested.size() + r.told.size());
    std::set_union(interested.begin(), interested.end(), r.told.begin(), r.told.end(),
                   std::back_inserter(all));
    for (const Session front : all)
        if (proxies_.contains(front)) tell(r, front, out);
}

// A runner refuses connections until it has started, and the platform's list shows that late: one front, of
// those who will use it, tries until it can connect.
void SlotTable::watch(RunnerSlots& r, std::vector<ProxyMessage>& out) {
    if (r.state != RunnerState::starting || proxies_.contains(r.watcher) || proxies_.empty()) return;
    const Function& f = *r.function;
    const auto rank = [&](Session s, const ProxySession& front) {
        // Those alike in use and zone take turns, by the runner's number.
        const std::uint32_t turn = r.number * 40503U;  // wraps at 32 bits
        return std::tuple(2 * (front.zone == r.what.zone) + static_cast<int>(f.interested.count(s)),
                          (s * 2654435761U ^ turn) % 997);
    };
    Session best = 0;
    for (const auto& [session, front] : proxies_)
        if (best == 0 || rank(session, front) > rank(best, proxies_.at(best))) best = session;
    r.watcher = best;
    tell(r, best, out, true);
}

}  // namespace gannethold::cluster
