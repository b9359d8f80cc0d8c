// The slot table's runners, from the start to the end.
#include "cluster/slots/slot_table.hpp"

#include <string>

namespace gannethold::cluster {
namespace {

constexpr Micros kUnderWay = 1'000'000;  // what fronts sent before they were told has come there by then

}  // namespace

RunnerSlots& SlotTable::add(Micros now, const RunnerInfo& what) {
    const std::uint32_t number = next_number_++;
    RunnerSlots& r = runners_[number];
    r.number = number;
    r.what = what;
    r.what.outstanding = 0;
    r.began = r.idle_since = now;
    Function& f = function(what.service);
    r.function = &f;
    if (f.service) r.what.slots = f.service->max_concurrency;
    f.runners.push_back(number);
    by_name_[what.runner_id] = number;
    starting_.insert(number);
    touch(f);
    return r;
}

void SlotTable::began(Micros now, const RunnerInfo& what, std::vector<ProxyMessage>& out) {
    if (by_name_.contains(what.runner_id) || ended_.contains(what.runner_id)) return;
    RunnerSlots& r = add(now, what);
    watch(r, out);
}

void SlotTable::listed(Micros now, const RunnerInfo& what, bool draining, std::vector<ProxyMessage>& out) {
    const auto known = by_name_.find(what.runner_id);
    if (known == by_name_.end() && (draining || ended_.contains(what.runner_id))) return;
    RunnerSlots& r = known != by_name_.end() ? runners_.at(known->second) : add(now, what);
    if (r.what.worker.empty()) r.what.worker = what.worker;
    const bool changed = r.state == RunnerState::starting || (draining && !r.draining);
    if (r.state == RunnerState::starting) {
        r.state = RunnerState::ready;
        starting_.erase(r.number);
    }
    if (draining && !r.draining) {
        r.draining = true;
        r.retired = now;
    }
    if (!changed) return;
    touch(*r.function);
    tell_all(r, out);
    serve(now, *r.function, out);
}

void SlotTable::up(Micros now, Session session, const RunnerReachable& m, std::vector<ProxyMessage>& out) {
    const auto at = runners_.find(m.runner);
    if (at == runners_.end() || at->second.state != RunnerState::starting) return;
    RunnerSlots& r = at->second;
    if (!m.reachable) {
        if (r.watcher == session) gone(now, std::string(r.what.runner_id), "it did not start", out);
        return;
    }
    r.state = RunnerState::ready;
    starting_.erase(r.number);
    r.idle_since = now;
    tell_all(r, out);
    serve(now, *r.function, out);
}

void SlotTable::gone(Micros now, const std::string& runner, const char*, std::vector<ProxyMessage>& out) {
    const auto known = by_name_.find(runner);
    ended_[runner] = now;
    if (known == by_name_.end()) return;
    RunnerSlots& r = runners_.at(known->second);
    r.state = RunnerState::gone;
    tell_all(r, out);
    starting_.erase(r.number);
    std::erase(r.function->runners, r.number);
    touch(*r.function);
    runners_.erase(known->second);
    by_name_.erase(known);
}

bool SlotTable::retire(Micros now, std::uint32_t number, std::vector<ProxyMessage>& out) {
    const auto at = runners_.find(number);
    if (at == runners_.end()) return true;
    RunnerSlots& r = at->second;
    if (!r.draining) {
        r.draining = true;
        r.retired = now;
        tell_all(r, out);
    }
    return r.given.empty() && now >= r.retired + (r.function->unrestricted ? kUnderWay : 0);
}

}  // namespace gannethold::cluster
