#include "cluster/placement/planner.hpp"

#include <algorithm>
#include <cmath>

namespace gannethold::cluster {
namespace {

constexpr Micros kSilent = 1'000'000;  // before a stop without an answer is said again
// A runner that is started for each request costs its start each time; one that is kept, its idle time. It is
// kept where more than one request is expected in so many starts' time.
constexpr double kHold = 2;
constexpr std::size_t kShortLine = 8;
constexpr Micros kPlanEach = 20'000;
constexpr double kStartPays = 0.8;  // of a start's time: a slot that comes free sooner is waited for
constexpr double kNearRate = 12;    // requests a second of a zone that are worth a gigabyte near them

}  // namespace

void Planner::update_workers(Micros, std::vector<Worker> all) {
    workers_.clear();
    for (Worker& w : all) workers_[w.name] = std::move(w);
}

bool Planner::spend(Micros now) {
    // Under the platform's rate, shared by all who could hold the duty one after the other.
    tokens_ = std::min(std::max(4.0, options_.requests_per_s / 8),
                       tokens_ + static_cast<double>(now - tokens_at_) / 1e6 * options_.requests_per_s * 0.8);
    tokens_at_ = now;
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
}

std::string Planner::region(const std::string& zone) const {
    const auto at = options_.region_of.find(zone);
    return at == options_.region_of.end() ? zone : at->second;
}

// In the zone that needs it if there is room, then in its region, then anywhere; there on the worker that has
// none of the function yet, so that one crash leaves some; then on the emptiest.
const Worker* Planner::place(Micros now, const Function& f, const std::string& zone) const {
    std::map<std::string, int> there;
    for (const RunnerSlots* const runner : f.runners)
        if (const RunnerSlots& r = *runner; !r.draining) ++there[r.info.worker];
    std::map<std::string, std::int64_t> promised;
    for (const auto& [nonce, p] : starts_) {
        promised[p.begin.worker] += p.memory;
        if (p.begin.service == f.name) ++there[p.begin.worker];
    }
    const Worker* best = nullptr;
    double best_rank = 0;
    for (const auto& [name, w] : workers_) {
        const auto used = used_.find(name);
        const std::int64_t left = w.memory_mb - (used == used_.end() ? 0 : used->second) - promised[name];
        if (!w.ready || left < f.service->memory_mb) continue;
        if (const auto full = full_until_.find(name); full != full_until_.end() && now < full->second)
            continue;
        const double near = zone.empty() ? 0 : w.zone == zone ? 2 : region(w.zone) == region(zone) ? 1 : 0;
        const double rank =
            100 * near - 16 * there[name] +
            static_cast<double>(left) / static_cast<double>(std::max<std::int64_t>(1, w.memory_mb));
        if (!best || rank > best_rank) {
            best = &w;
            best_rank = rank;
        }
    }
    return best;
}

Planner::Wish Planner::wish(Micros now, const SlotTable& slot_table, const Function& f, std::size_t have,
                            std::size_t starting) const {
    const Service& s = *f.service;
    const double slots = s.most;
    const double load = std::max(f.load.fast(), f.load.slow());
    Wish wish;
    wish.why = "idle";
    // Where one more is best: the zone with most requests for each runner there.
    std::map<std::string, double> there;
    for (const RunnerSlots* const runner : f.runners)
        if (const RunnerSlots& r = *runner; !r.draining) there[r.info.zone] += 1;
    if (const auto of = starts_of_.find(f.name); of != starts_of_.end())
        for (const std::string& nonce : of->second)
            if (const auto p = starts_.find(nonce); p != starts_.end())
                there[zone_of(p->second.begin.worker)] += 1;
    double most = 0;
    for (const auto& [zone, place] : f.zones.by_zone()) {
        const double need = place.requests_per_s / (0.2 + there[zone]);
        if (need > most) {
            most = need;
            wish.zone = zone;
        }
    }
    if (s.warm()) {
        const double wanted = load + 2 * std::sqrt(load);
        wish.count = std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(wanted / (slots * 0.8))));
        wish.why = wish.count > 1 ? "load" : "warm";
        // Near those who ask: a region of its own for each region, a zone where enough comes from it.
        std::map<std::string, double> rates;
        std::map<std::string, double> has;
        std::size_t zones = 0;
        for (const auto& [zone, place] : f.zones.by_zone()) {
            rates[region(zone)] += place.requests_per_s;
            zones += place.requests_per_s > kNearRate * static_cast<double>(s.memory_mb) / 1024;
        }
        std::size_t regions = 0;
        for (const auto& [name, rate] : rates)
            regions += rate > kNearRate / 4 * static_cast<double>(s.memory_mb) / 1024;
        const std::size_t near = std::max(zones, regions);
        if (near > wish.count) {
            wish.count = near;
            wish.why = "near";
        }
    } else if (f.zones.requests_per_s() * kHold * static_cast<double>(s.boot) / 1e6 > 1 ||
               f.load.slow() > 0.5) {
        wish.count = std::max<std::size_t>(
            1, static_cast<std::size_t>(std::ceil((f.load.slow() + std::sqrt(f.load.slow())) / slots - 0.3)));
        wish.why = "load";
    }
    if (!f.waiting.empty()) {
        std::map<std::string, int> zones;
        for (const auto& [place, w] : f.waiting.all())
            if (const std::string* zone = slot_table.proxy_zone(w.session)) ++zones[*zone];
        int many = 0;
        for (const auto& [zone, count] : zones)
            if (count > many) {
                many = count;
                wish.zone = zone;
            }
        // One more where a start is over before a slot comes free, and what is coming up already would be too
        // late for the aim.
        const double wait = slot_table.expected_wait(now, f);
        const WaitQueue::Waiting& last = *f.waiting.newest();
        const bool late = static_cast<double>(now) + wait + static_cast<double>(last.work) >
                          static_cast<double>(last.target_at);
        if (starting * s.most < f.waiting.size() && wait > kStartPays * static_cast<double>(s.boot) &&
            (have == 0 || late)) {
            if (have + 1 > wish.count) {
                wish.why = "waiting";
                wish.count = have + 1;
            }
        }
    }
    return wish;
}

void Planner::plan_for_waiting(Micros now, SlotTable& slot_table, Function& f, ProxyOutbox& mail) {
    // What one more in a long line changes is little, and to look at all of it for each costs more than there
    // is.
    if (f.waiting.size() > kShortLine && now < f.planned_at + kPlanEach) return;
    f.planned_at = now;
    plan(now, slot_table, f, mail);
}

// What starts on a worker that drains or is down never comes up: another start is planned for at once.
void Planner::cancel_lost_starts(Micros now, SlotTable& slot_table, ProxyOutbox& mail) const {
    std::vector<std::string> lost;
    for (const auto& [number, runner] : slot_table.runners()) {
        const auto worker = workers_.find(runner.info.worker);
        const bool up = worker != workers_.end() && worker->second.ready;
        if (runner.state == RunnerState::starting && !up) lost.push_back(runner.info.runner);
    }
    for (const std::string& runner : lost) slot_table.on_runner_gone(now, runner, mail);
}

void Planner::plan(Micros now, SlotTable& slot_table, Function& f, ProxyOutbox& mail) {
    if (!committed(now)) return;
    // Nobody asks, nothing runs, none is to be warm.
    if (f.service && f.runners.empty() && f.waiting.empty() && f.zones.requests_per_s() < 0.01 &&
        !f.service->warm() && !starts_of_.contains(f.name))
        return;
    if (!f.service) {
        for (const RunnerSlots* const runner : f.runners) {
            slot_table.drain_runner(now, runner->number, mail);
            leaving_.try_emplace(runner->info.runner, Leaving{runner->number, 0, false});
        }
        return;
    }
    std::size_t have = 0;
    std::size_t starting = 0;
    for (const RunnerSlots* const runner : f.runners) {
        const RunnerSlots& r = *runner;
        have += !r.draining;
        starting += !r.draining && r.state == RunnerState::starting;
    }
    if (const auto of = starts_of_.find(f.name); of != starts_of_.end()) {
        have += of->second.size();
        starting += of->second.size();
    }
    const Wish want = wish(now, slot_table, f, have, starting);
    if (have < want.count) {
        surplus_since_.erase(f.name);
        const Worker* const worker = place(now, f, want.zone);
        f.no_worker_has_room = !worker;
        if (!worker) return;
        const std::string nonce = options_.nonce_prefix + std::to_string(++count_);
        starts_[nonce] = {{f.name, worker->name, nonce, want.why}, f.service->memory_mb, now, false, 0};
        starts_of_[f.name].push_back(nonce);
        return;
    }
    if (have == want.count || starting > 0) {
        surplus_since_.erase(f.name);
        return;
    }
    // Stopped once it has been too many for as long as a start is worth.
    const Micros since = surplus_since_.try_emplace(f.name, now).first->second;
    const Micros keep = want.count == 0 ? f.service->boot : 2 * f.service->boot + 500'000;
    if (now < since + keep) return;
    const RunnerSlots* chosen = nullptr;
    std::map<std::string, int> there;
    for (const RunnerSlots* const runner : f.runners)
        if (const RunnerSlots& r = *runner; !r.draining) ++there[r.info.zone];
    const auto spare = [&](const RunnerSlots& r) {
        const auto place = f.zones.by_zone().find(r.info.zone);
        return there[r.info.zone] /
               (0.01 + (place == f.zones.by_zone().end() ? 0 : place->second.requests_per_s));
    };
    for (const RunnerSlots* const runner : f.runners) {
        const RunnerSlots& r = *runner;
        if (r.draining || r.state != RunnerState::ready ||
            (!f.unrestricted && (r.outstanding() > 0 || now < r.idle_since + keep / 2)))
            continue;
        if (!chosen || spare(r) > spare(*chosen) ||
            (spare(r) == spare(*chosen) && r.idle_since < chosen->idle_since))
            chosen = &r;
    }
    if (!chosen) return;
    const std::uint32_t number = chosen->number;
    leaving_.try_emplace(chosen->info.runner, Leaving{number, 0, false});
    slot_table.drain_runner(now, number, mail);
}

void Planner::plan_all(Micros now, SlotTable& slot_table, ProxyOutbox& mail) {
    used_.clear();
    for (const auto& [number, r] : slot_table.runners())
        if (r.function->service) used_[r.info.worker] += r.function->service->memory_mb;
    for (Function* const f : std::vector<Function*>(slot_table.active().begin(), slot_table.active().end()))
        plan(now, slot_table, *f, mail);
    // What was retired is stopped once nothing is under way to it.
    for (auto& [runner, l] : leaving_)
        if (l.next == 0 && slot_table.drain_runner(now, l.number, mail)) l.next = now;
}

void Planner::take_due_requests(Micros now, PlatformRequests& orders) {
    for (auto& [nonce, p] : starts_) {
        if (p.out || now < p.next) continue;
        if (!spend(now)) return;
        p.out = true;
        ++p.times;
        orders.starts.push_back(p.begin);
    }
    for (auto& [runner, l] : leaving_) {
        if (l.next == 0 || now < l.next) continue;
        if (!spend(now)) return;
        l.next = now + kSilent;
        orders.stops.push_back({runner, "surplus"});
    }
}

void Planner::on_start_result(Micros now, const std::string& nonce, StartResult answer) {
    const auto at = starts_.find(nonce);
    if (at == starts_.end()) return;
    Pending& p = at->second;
    const auto drop = [&] {
        auto& all = starts_of_[p.begin.service];
        std::erase(all, nonce);
        if (all.empty()) starts_of_.erase(p.begin.service);
        starts_.erase(at);
    };
    switch (answer) {
        case StartResult::started:
            used_[p.begin.worker] += p.memory;
            return drop();
        case StartResult::no_capacity:
            full_until_[p.begin.worker] = now + 1'000'000;
            return drop();
        case StartResult::rejected:
            return drop();
        case StartResult::busy:
            p.out = false;
            p.next = now + 100'000;
            return;
        case StartResult::timed_out:
            // It may have been done: the same nonce on the same worker finds it again.
            p.out = false;
            p.next = now + 50'000;
            if (p.times >= 4) drop();
            return;
    }
}

void Planner::on_stop_result(const std::string& runner, bool done) {
    if (done) leaving_.erase(runner);
}

}  // namespace gannethold::cluster
