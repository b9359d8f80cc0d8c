#include "post/placement/planner.hpp"

#include <algorithm>
#include <cmath>

namespace gannethold::post {
namespace {

constexpr Micros kSilent = 1'000'000;  // before a start or stop without an answer is said again

}  // namespace

void Planner::workers(Micros, std::vector<Worker> all) {
    workers_.clear();
    for (Worker& w : all) workers_[w.name] = std::move(w);
}

bool Planner::spend(Micros now) {
    // Under the platform's rate, shared by all who could hold the duty one after the other.
    tokens_ = std::min(std::max(4.0, terms_.duty_per_s / 8), tokens_ + static_cast<double>(now - tokens_at_) / 1e6 * terms_.duty_per_s * 0.8);
    tokens_at_ = now;
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
}

std::int64_t Planner::room(const Worker& worker, const Book& book) const {
    std::int64_t used = 0;
    for (const auto& [number, r] : book.runners()) {
        const auto f = book.functions().find(r.what.service);
        if (r.what.worker == worker.name && f != book.functions().end() && f->second.service) used += f->second.service->memory_mb;
    }
    for (const auto& [nonce, p] : begins_)
        if (p.begin.worker == worker.name) used += p.memory;
    return worker.memory_mb - used;
}

// The nearest zone that needs it, then the emptiest worker; spread over workers, so that one crash leaves some.
const Worker* Planner::place(Micros now, const Book& book, const Function& f) const {
    std::map<std::string, double> need;
    for (const Function::Waiting& w : f.waiting)
        if (const std::string* zone = book.zone_of(w.front)) need[*zone] += 1;
    std::map<std::string, int> there, in_zone;
    for (const std::uint32_t number : f.runners) {
        const Slots& r = book.runners().at(number);
        if (r.draining) continue;
        ++there[r.what.worker], ++in_zone[r.what.zone];
    }
    for (const auto& [nonce, p] : begins_)
        if (p.begin.service == f.service->name) {
            ++there[p.begin.worker];
            if (const auto w = workers_.find(p.begin.worker); w != workers_.end()) ++in_zone[w->second.zone];
        }
    const Worker* best = nullptr;
    double best_rank = 0;
    for (const auto& [name, w] : workers_) {
        const std::int64_t left = room(w, book);
        if (!w.ready || left < f.service->memory_mb) continue;
        if (const auto full = full_until_.find(name); full != full_until_.end() && now < full->second) continue;
        const auto count = [](const auto& table, const std::string& key) {
            const auto at = table.find(key);
            return at == table.end() ? 0.0 : static_cast<double>(at->second);
        };
        const double rank = 8 * (need.empty() ? 0 : count(need, w.zone) / static_cast<double>(f.waiting.size())) - 4 * count(in_zone, w.zone) -
                            16 * count(there, name) + static_cast<double>(left) / static_cast<double>(std::max<std::int64_t>(1, w.memory_mb));
        if (!best || rank > best_rank) best = &w, best_rank = rank;
    }
    return best;
}

Planner::Wish Planner::wish(Micros now, const Book& book, const Function& f, std::size_t have, std::size_t starting) const {
    const Service& s = *f.service;
    const double slots = s.most;
    // An aim that can not wait for a start wants a runner before anyone has asked.
    const bool warm = s.tightest_aim > 0 && static_cast<double>(s.tightest_aim) < 1.3 * static_cast<double>(s.boot);
    const double load = std::max(f.load_fast, f.load_slow);
    std::size_t count = 0;
    const char* why = "idle";
    if (warm) {
        const double wanted = load + 2 * std::sqrt(load);
        count = std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(wanted / (slots * 0.8))));
        why = count > 1 ? "load" : "warm";
    } else if (load > 0.02) {
        const double wanted = f.load_slow + std::sqrt(f.load_slow);
        count = std::max<std::size_t>(f.load_slow > 0.02 ? 1 : 0, static_cast<std::size_t>(std::ceil(wanted / slots - 0.3)));
        why = "load";
    }
    if (!f.waiting.empty() && book.expected_wait(now, f) > static_cast<double>(s.boot) * 0.4 && starting * s.most < f.waiting.size()) {
        if (have + 1 > count) why = "waiting";
        count = std::max(count, have + 1);
    }
    return {count, why};
}

void Planner::plan(Micros now, Book& book, Orders& orders, std::vector<FrontMail>& mail) {
    // Not before it is known what there is: what an earlier holder started shows in the list late.
    if (listed_ == 0 || workers_.empty() || now < since_ + terms_.settle) return;
    for (const auto& [name, f] : book.functions()) {
        if (!f.service) {
            for (const std::uint32_t number : std::vector<std::uint32_t>(f.runners)) {
                const std::string runner = book.runners().at(number).what.runner;
                if (book.retire(now, number, mail) && !stopping_.count(runner)) stopping_[runner] = 0;
            }
            continue;
        }
        std::size_t have = 0, starting = 0;
        for (const std::uint32_t number : f.runners) {
            const Slots& r = book.runners().at(number);
            have += !r.draining;
            starting += !r.draining && r.state == RunnerState::starting;
        }
        for (const auto& [nonce, p] : begins_) {
            const bool same = p.begin.service == name;
            have += same, starting += same;
        }
        const Wish want = wish(now, book, f, have, starting);
        for (std::size_t n = have; n < want.count && n < have + 2; ++n) {
            const Worker* const worker = place(now, book, f);
            if (!worker) break;
            const std::string nonce = terms_.nonce_prefix + std::to_string(++count_);
            begins_[nonce] = {{name, worker->name, nonce, want.why}, f.service->memory_mb, now, false, 0};
        }
        // Stopped once it has been too many for as long as a start is worth.
        if (have <= want.count || starting > 0) {
            surplus_since_.erase(name);
            continue;
        }
        const Micros since = surplus_since_.try_emplace(name, now).first->second;
        const Micros keep = 2 * f.service->boot + 500'000;
        if (now < since + keep) continue;
        std::uint32_t longest = 0;
        for (const std::uint32_t number : f.runners) {
            const Slots& r = book.runners().at(number);
            if (r.draining || r.out > 0 || r.state != RunnerState::ready || now < r.idle_since + keep / 2) continue;
            if (longest == 0 || r.idle_since < book.runners().at(longest).idle_since) longest = number;
        }
        if (longest == 0) continue;
        const std::string runner = book.runners().at(longest).what.runner;
        book.retire(now, longest, mail);
        stopping_[runner] = 0;
    }
    for (auto& [nonce, p] : begins_) {
        if (p.out || now < p.next || !spend(now)) continue;
        p.out = true;
        p.next = now + kSilent;
        ++p.times;
        orders.begins.push_back(p.begin);
    }
    for (auto& [runner, next] : stopping_) {
        if (now < next || !spend(now)) continue;
        next = now + kSilent;
        orders.stops.push_back({runner, "surplus"});
    }
}

void Planner::begin_answered(Micros now, const std::string& nonce, BeginAnswer answer) {
    const auto at = begins_.find(nonce);
    if (at == begins_.end()) return;
    Pending& p = at->second;
    switch (answer) {
        case BeginAnswer::begun: begins_.erase(at); return;
        case BeginAnswer::no_room:
            full_until_[p.begin.worker] = now + 1'000'000;
            begins_.erase(at);
            return;
        case BeginAnswer::refused: begins_.erase(at); return;
        case BeginAnswer::busy:
            p.out = false;
            p.next = now + 100'000;
            return;
        case BeginAnswer::silent:
            // It may have been done: the same nonce on the same worker finds it again.
            p.out = false;
            p.next = now + 50'000;
            if (p.times >= 4) begins_.erase(at);
            return;
    }
}

void Planner::stop_answered(const std::string& runner, bool done) {
    if (done) stopping_.erase(runner);
}

}  // namespace gannethold::post
