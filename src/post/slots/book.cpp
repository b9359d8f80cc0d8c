#include "post/slots/book.hpp"

#include <algorithm>
#include <cmath>

namespace gannethold::post {
namespace {

constexpr Micros kAside = 1'500'000;  // after a runner could not be reached
constexpr double kGuess = 100'000;    // of work never seen, microseconds

}  // namespace

void Usual::add(double took) {
    weight_ = std::min(weight_ + 1, 32.0);
    mean_ += (took - mean_) / weight_;
}

Function& Book::function(const std::string& name) {
    Function& f = functions_[name];
    if (!f.service && configuration_) f.service = configuration_->service(name);
    return f;
}

void Book::configure(std::shared_ptr<const Configuration> configuration) {
    configuration_ = std::move(configuration);
    for (auto& [name, f] : functions_) f.service = nullptr;
    for (const Service& s : configuration_->services()) function(s.name);
    for (auto& [number, r] : runners_)
        if (const Service* s = functions_[r.what.service].service) r.what.slots = s->most;
}

const Slots* Book::find(const std::string& runner) const {
    const auto at = by_name_.find(runner);
    return at == by_name_.end() ? nullptr : &runners_.at(at->second);
}

const std::string* Book::zone_of(Session front) const {
    const auto at = fronts_.find(front);
    return at == fronts_.end() ? nullptr : &at->second.zone;
}

double Book::usual(const Function&, std::uint16_t shape) const {
    const auto at = usual_.find(shape);
    return at == usual_.end() ? kGuess : at->second.get(kGuess);
}

// ---- telling fronts ------------------------------------------------------------------------------------------

void Book::tell(Slots& r, Session front, std::vector<FrontMail>& out, bool watch) {
    r.told.insert(front);
    RunnerTold told{r.number, r.draining || r.state == RunnerState::gone ? RunnerState::gone : r.state, r.what, watch};
    told.runner.out = 0;
    out.push_back({front, std::move(told)});
}

void Book::tell_all(Slots& r, std::vector<FrontMail>& out) {
    for (const Session front : functions_[r.what.service].interested) tell(r, front, out);
    for (const Session front : r.told)
        if (fronts_.count(front) && !functions_[r.what.service].interested.count(front)) tell(r, front, out);
}

// A runner refuses connections until it has started, and the platform's list shows that late: one front, of those who
// will use it, tries until it can connect.
void Book::watch(Slots& r, std::vector<FrontMail>& out) {
    if (r.state != RunnerState::starting || fronts_.count(r.watcher) || fronts_.empty()) return;
    const Function& f = functions_[r.what.service];
    Session best = 0;
    for (const auto& [session, front] : fronts_) {
        const auto rank = [&](Session s) {
            return 2 * (fronts_.at(s).zone == r.what.zone) + f.interested.count(s);
        };
        // Spread: where several are alike, by the runner's number.
        if (best == 0 || rank(session) > rank(best) || (rank(session) == rank(best) && (session * 2654435761U ^ r.number * 40503U) % 97 > (best * 2654435761U ^ r.number * 40503U) % 97)) best = session;
    }
    r.watcher = best;
    tell(r, best, out, true);
}

// ---- fronts --------------------------------------------------------------------------------------------------

void Book::front_came(Micros now, Session session, const Greeting& greeting, std::vector<FrontMail>& out) {
    Front& front = fronts_[session];
    front.name = greeting.name, front.zone = greeting.zone;
    for (const Holding& held : greeting.holdings) {
        const auto known = by_name_.find(held.runner);
        Slots& r = known != by_name_.end() ? runners_.at(known->second) : add(now, held);
        r.ordered = true;
        if (held.up && r.state == RunnerState::starting) r.state = RunnerState::ready, tell_all(r, out);
        r.out += held.out;
        if (held.out > 0) r.out_by[session] += held.out;
        functions_[r.what.service].interested.insert(session);
        tell(r, session, out);
    }
    for (auto& [number, r] : runners_) watch(r, out);
}

void Book::front_left(Micros now, Session session, std::vector<FrontMail>& out) {
    if (fronts_.erase(session) == 0) return;
    for (auto& [name, f] : functions_) {
        f.interested.erase(session);
        std::erase_if(f.waiting, [&](const Function::Waiting& w) { return w.front == session; });
    }
    for (auto& [number, r] : runners_) {
        r.told.erase(session);
        if (const auto held = r.out_by.find(session); held != r.out_by.end()) {
            // What it had out may be at work still, for as long as it usually takes: the slots are given back by tick().
            r.out -= std::min(r.out, held->second);
            r.out_by.erase(held);
            r.aside_until = std::max(r.aside_until, now + 300'000);
        }
        if (r.watcher == session) r.watcher = 0, watch(r, out);
    }
}

void Book::ask(Micros now, Session session, const Ask& ask, std::vector<FrontMail>& out) {
    const auto front = fronts_.find(session);
    if (front == fronts_.end()) return;
    Function& f = function(ask.service);
    f.last_ask = now;
    if (f.interested.insert(session).second)
        for (const std::uint32_t number : f.runners) tell(runners_.at(number), session, out);
    if (!f.service) {
        out.push_back({session, Denial{ask.id, 500}});
        return;
    }
    if (ask.again) {
        const auto old = [&](std::deque<Micros>& q) {
            while (!q.empty() && q.front() < now - terms_.budget_window) q.pop_front();
        };
        old(f.seconds_tried);
        // Two keepers in one window, each with half: the budget holds over a change of the keeper too.
        if (static_cast<double>(f.seconds_tried.size()) + 1 > terms_.budget_slack / 2) {
            out.push_back({session, Denial{ask.id, 1000}});
            return;
        }
        f.seconds_tried.push_back(now);
    } else {
        ++f.asked;
    }
    if (Slots* const r = choose(now, f, ask, front->second.zone)) return grant(now, *r, f, session, ask, out);
    f.waiting.push_back({session, ask, now, now + ask.aim_ms * 1000LL, now + ask.deadline_ms * 1000LL});
}

Slots* Book::choose(Micros now, const Function& f, const Ask& ask, const std::string& zone) {
    if (const auto drawn = runners_.find(ask.drawn); drawn != runners_.end() && functions_[drawn->second.what.service].service == f.service && open(now, drawn->second))
        return &drawn->second;
    Slots* best = nullptr;
    const auto rank = [&](const Slots& s) {
        return (s.what.zone == zone ? 2.0 : 0.0) - static_cast<double>(s.out) / s.what.slots;
    };
    for (const std::uint32_t number : f.runners) {
        Slots& r = runners_.at(number);
        if (open(now, r) && (!best || rank(r) > rank(*best))) best = &r;
    }
    return best;
}

void Book::grant(Micros now, Slots& r, Function&, Session session, const Ask& ask, std::vector<FrontMail>& out) {
    ++r.out;
    ++r.out_by[session];
    fronts_[session].granted[ask.id] = {r.number, {now, ask.shape}};
    if (!r.told.count(session)) tell(r, session, out);
    out.push_back({session, Grant{ask.id, r.number}});
}

void Book::serve(Micros now, Function& f, std::vector<FrontMail>& out) {
    while (!f.waiting.empty()) {
        // Most urgent first: what can still be in aim, by when; then what can not, by its deadline.
        auto best = f.waiting.end();
        const auto key = [&](const Function::Waiting& w) {
            const bool late = now + static_cast<Micros>(usual(f, w.ask.shape)) > w.aim_at;
            return std::tuple(late, late ? w.deadline_at : w.aim_at, w.ask.priority);
        };
        for (auto w = f.waiting.begin(); w != f.waiting.end(); ++w)
            if (best == f.waiting.end() || key(*w) < key(*best)) best = w;
        const std::string* const zone = zone_of(best->front);
        Slots* const r = zone ? choose(now, f, best->ask, *zone) : nullptr;
        if (zone && !r) return;
        const Function::Waiting next = *best;
        f.waiting.erase(best);
        if (r) grant(now, *r, f, next.front, next.ask, out);
    }
}

void Book::release(Micros now, Session session, const Release& m, std::vector<FrontMail>& out) {
    const auto front = fronts_.find(session);
    if (front == fronts_.end()) return;
    std::uint32_t number = m.runner;
    if (const auto granted = front->second.granted.find(m.id); m.id > 0 && granted != front->second.granted.end()) {
        number = granted->second.first;
        if (m.how == Ended::answered) usual_[granted->second.second.second].add(static_cast<double>(m.took_ms) * 1e3);
        front->second.granted.erase(granted);
    } else if (m.id > 0) {
        // Not granted, or no longer: it waits here still, and the client has left.
        for (auto& [name, f] : functions_)
            std::erase_if(f.waiting, [&](const Function::Waiting& w) { return w.front == session && w.ask.id == m.id; });
        // Its slot, if it ever had one, was given back before: another's must not be taken for it.
        return;
    }
    const auto at = runners_.find(number);
    if (at == runners_.end()) return;
    Slots& r = at->second;
    const auto held = r.out_by.find(session);
    if (held != r.out_by.end()) {
        --r.out;
        if (--held->second == 0) r.out_by.erase(held);
    }
    if (r.out == 0) r.idle_since = now;
    Function& f = functions_[r.what.service];
    if (m.how == Ended::gone) return gone(now, std::string(r.what.runner), "another has its address", out);
    if (m.how == Ended::unreachable) {
        // It had started, and nobody listens there: such a one does not come back.
        if (r.state == RunnerState::ready && r.out == 0 && now < r.aside_until) return gone(now, std::string(r.what.runner), "unreachable twice", out);
        r.aside_until = now + kAside;
    }
    if (m.how == Ended::turned_away) r.aside_until = std::max(r.aside_until, now + 100'000);
    serve(now, f, out);
}

void Book::up(Micros now, Session session, const Up& m, std::vector<FrontMail>& out) {
    const auto at = runners_.find(m.runner);
    if (at == runners_.end() || at->second.state != RunnerState::starting) return;
    Slots& r = at->second;
    if (!m.up) {
        if (r.watcher == session) gone(now, std::string(r.what.runner), "it did not start", out);
        return;
    }
    r.state = RunnerState::ready;
    r.idle_since = now;
    tell_all(r, out);
    serve(now, functions_[r.what.service], out);
}

// ---- runners -------------------------------------------------------------------------------------------------

Slots& Book::add(Micros now, const Holding& what) {
    const std::uint32_t number = next_number_++;
    Slots& r = runners_[number];
    r.number = number;
    r.what = what;
    r.what.out = 0;
    r.began = r.idle_since = now;
    Function& f = function(what.service);
    if (f.service) r.what.slots = f.service->most;
    f.runners.push_back(number);
    by_name_[what.runner] = number;
    return r;
}

void Book::began(Micros now, const Holding& what, std::vector<FrontMail>& out) {
    if (by_name_.count(what.runner) || ended_.count(what.runner)) return;
    Slots& r = add(now, what);
    r.ordered = true;
    tell_all(r, out);
    watch(r, out);
}

void Book::listed(Micros now, const Holding& what, bool draining, std::vector<FrontMail>& out) {
    const auto known = by_name_.find(what.runner);
    if (known == by_name_.end() && (draining || ended_.count(what.runner))) return;
    Slots& r = known != by_name_.end() ? runners_.at(known->second) : add(now, what);
    r.seen = now;
    if (r.what.worker.empty()) r.what.worker = what.worker;
    const bool changed = r.state == RunnerState::starting || (draining && !r.draining);
    if (r.state == RunnerState::starting) r.state = RunnerState::ready;
    if (draining) r.draining = true;
    if (!changed) return;
    tell_all(r, out);
    serve(now, functions_[r.what.service], out);
}

void Book::gone(Micros now, const std::string& runner, const char*, std::vector<FrontMail>& out) {
    const auto known = by_name_.find(runner);
    if (known == by_name_.end()) return;
    Slots& r = runners_.at(known->second);
    r.state = RunnerState::gone;
    ended_[runner] = now;
    tell_all(r, out);
    std::erase(functions_[r.what.service].runners, r.number);
    runners_.erase(known->second);
    by_name_.erase(known);
}

bool Book::retire(Micros, std::uint32_t number, std::vector<FrontMail>& out) {
    const auto at = runners_.find(number);
    if (at == runners_.end()) return true;
    if (!at->second.draining) {
        at->second.draining = true;
        tell_all(at->second, out);
    }
    return at->second.out == 0;
}

// ---- time ----------------------------------------------------------------------------------------------------

double Book::expected_wait(Micros now, const Function& f) const {
    // When each slot comes free, by what is at work there; then one after the other for those who wait.
    std::vector<double> free_in;
    for (const std::uint32_t number : f.runners) {
        const Slots& r = runners_.at(number);
        if (r.draining) continue;
        if (r.state == RunnerState::starting) {
            const double left = std::max(50'000.0, static_cast<double>(r.began + (f.service ? f.service->boot : 1'000'000) - now));
            for (std::uint32_t i = 0; i < r.what.slots; ++i) free_in.push_back(left);
            continue;
        }
        for (std::uint32_t i = r.out; i < r.what.slots; ++i) free_in.push_back(0);
    }
    for (const auto& [session, front] : fronts_)
        for (const auto& [id, granted] : front.granted) {
            const auto at = runners_.find(granted.first);
            if (at == runners_.end() || functions_.at(at->second.what.service).service != f.service || at->second.draining) continue;
            const double left = usual(f, granted.second.second) - static_cast<double>(now - granted.second.first);
            free_in.push_back(std::max(left, 20'000.0));
        }
    if (free_in.empty()) return 1e12;
    std::make_heap(free_in.begin(), free_in.end(), std::greater<>());
    const auto take = [&](double work) {
        std::pop_heap(free_in.begin(), free_in.end(), std::greater<>());
        const double at = free_in.back();
        free_in.back() = at + work;
        std::push_heap(free_in.begin(), free_in.end(), std::greater<>());
        return at;
    };
    double last = 0;
    for (const Function::Waiting& w : f.waiting) last = take(usual(f, w.ask.shape));
    return f.waiting.empty() ? free_in.front() : last;
}

void Book::tick(Micros now, std::vector<FrontMail>& out) {
    for (auto& [number, r] : runners_) watch(r, out);
    std::erase_if(ended_, [&](const auto& one) { return one.second + 60'000'000 < now; });
    std::map<const Service*, std::uint32_t> busy;
    for (const auto& [number, r] : runners_)
        if (r.out > 0) busy[functions_[r.what.service].service] += r.out;
    for (auto& [name, f] : functions_) {
        const double step = static_cast<double>(kSample) / 1e6;
        const double load = static_cast<double>(f.waiting.size()) + (f.service && busy.count(f.service) ? busy[f.service] : 0);
        f.load_fast += (load - f.load_fast) * std::min(1.0, step / 0.7);
        f.load_slow += (load - f.load_slow) * std::min(1.0, step / 6.0);
        f.load_peak = std::max(load, f.load_peak * (1 - step / 6.0));
        f.rate += (f.asked / step - f.rate) * std::min(1.0, step / 4.0);
        f.asked = 0;
        // What can not be in time any more is answered at once.
        for (auto w = f.waiting.begin(); w != f.waiting.end();) {
            if (now + static_cast<Micros>(usual(f, w->ask.shape) / 2) > w->deadline_at) {
                out.push_back({w->front, Denial{w->ask.id, 0}});
                w = f.waiting.erase(w);
            } else {
                ++w;
            }
        }
        if (!f.waiting.empty()) serve(now, f, out);
    }
}

}  // namespace gannethold::post
