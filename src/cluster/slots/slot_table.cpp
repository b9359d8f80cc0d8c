#include "cluster/slots/slot_table.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <tuple>

#include "cluster/slots/urgency.hpp"

namespace gannethold::cluster {
namespace {

constexpr Micros kAside = 1'500'000;       // after a runner could not be reached
constexpr Micros kUnderWay = 1'000'000;    // what fronts sent before they were told has come there by then
constexpr Micros kKept = 4'000'000;        // at least, once a function had to be kept again
constexpr Micros kKnown = 3'000'000;       // so long its traffic must have been seen before it may be free
constexpr Micros kPause = 5'000'000;       // without a request: what was seen before says nothing any more
constexpr Micros kForget = 20'000'000;     // a function that nobody asked for so long is active no more
constexpr double kGuess = 100'000;         // of work never seen, microseconds
constexpr std::uint32_t kComeBack = 1000;  // ms, for who is given up in a line that is too long
constexpr double kTurnMargin =
    1.25;  // of the time that a place in the line is thought to take: work is not all of it
constexpr std::uint32_t kFewSlots = 4;  // a runner with fewer is full by chance too often to be free

// Of requests that come by chance to a runner with so many slots and that mean load, the part that finds it
// full.
double blocked(double load, std::uint32_t slots) {
    double b = 1;
    for (std::uint32_t n = 1; n <= slots; ++n) b = load * b / (n + load * b);
    return b;
}

}  // namespace

void Usual::add(double took) {
    weight_ = std::min(weight_ + 1, 32.0);
    mean_ += (took - mean_) / weight_;
}

void Demand::sample(double work, double span) {
    const double keep = std::exp(-span / seconds_);
    sum_ = sum_ * keep + work;
    seen_ = seen_ * keep + span;
}

double Demand::slots() const { return sum_ / std::max(seen_, kLeast); }

Function& SlotTable::function(const std::string& name) {
    std::unique_ptr<Function>& f = functions_[name];
    if (!f) {
        f = std::make_unique<Function>();
        f->name = name;
        if (configuration_) f->service = configuration_->service(name);
    }
    return *f;
}

void SlotTable::touch(Function& f) {
    f.active = true;
    active_.insert(&f);
}

void SlotTable::configure(std::shared_ptr<const Configuration> configuration) {
    configuration_ = std::move(configuration);
    for (const Service& s : configuration_->services()) function(s.name);
    for (auto& [name, f] : functions_) {
        f->service = configuration_->service(name);
        touch(*f);  // the next tick lets go of those that are not used
    }
    for (auto& [number, r] : runners_)
        if (r.function->service) r.what.slots = r.function->service->most;
}

std::int64_t SlotTable::used_mb(const std::string& worker) const {
    std::int64_t used = 0;
    for (const auto& [number, r] : runners_)
        if (r.what.worker == worker) used += memory_of(r);
    return used;
}

const std::string* SlotTable::zone_of(Session front) const {
    const auto at = fronts_.find(front);
    return at == fronts_.end() ? nullptr : &at->second.zone;
}

const std::string* SlotTable::name_of(Session front) const {
    const auto at = fronts_.find(front);
    return at == fronts_.end() ? nullptr : &at->second.name;
}

double SlotTable::usual(std::uint16_t shape) const {
    const auto at = usual_.find(shape);
    return at == usual_.end() ? kGuess : at->second.get(kGuess);
}

// ---- telling fronts
// ------------------------------------------------------------------------------------------

void SlotTable::tell(Slots& r, Session front, std::vector<FrontMail>& out, bool watch) {
    // A front that was not told its number knows a runner by its name only.
    const bool first = r.told.insert(front).second;
    const bool gone = r.draining || r.state == RunnerState::gone;
    RunnerTold told{r.number, gone ? RunnerState::gone : r.state, gone && !first ? Holding{} : r.what, watch};
    told.runner.out = 0;
    out.push_back({front, std::move(told)});
}

void SlotTable::tell_all(Slots& r, std::vector<FrontMail>& out) {
    // Whoever was told of it once, and whoever uses the function.
    std::set<Session> all = r.function->interested;
    all.insert(r.told.begin(), r.told.end());
    for (const Session front : all)
        if (fronts_.contains(front)) tell(r, front, out);
}

// A runner refuses connections until it has started, and the platform's list shows that late: one front, of
// those who will use it, tries until it can connect.
void SlotTable::watch(Slots& r, std::vector<FrontMail>& out) {
    if (r.state != RunnerState::starting || fronts_.contains(r.watcher) || fronts_.empty()) return;
    const Function& f = *r.function;
    const auto rank = [&](Session s, const Front& front) {
        // Those alike in use and zone take turns, by the runner's number.
        return std::tuple(2 * (front.zone == r.what.zone) + static_cast<int>(f.interested.count(s)),
                          (s * 2654435761U ^ std::uint64_t{r.number * 40503U}) % 997);
    };
    Session best = 0;
    for (const auto& [session, front] : fronts_)
        if (best == 0 || rank(session, front) > rank(best, fronts_.at(best))) best = session;
    r.watcher = best;
    tell(r, best, out, true);
}

// ---- fronts
// --------------------------------------------------------------------------------------------------

void SlotTable::front_came(Micros now, Session session, const Register& registration,
                           std::vector<FrontMail>& out) {
    Front& front = fronts_[session];
    front.name = registration.name;
    front.zone = registration.zone;
    for (const Holding& held : registration.holdings) {
        if (ended_.contains(held.runner)) continue;
        const auto known = by_name_.find(held.runner);
        Slots& r = known != by_name_.end() ? runners_.at(known->second) : add(now, held);
        if (held.up && r.state == RunnerState::starting) {
            r.state = RunnerState::ready;
            starting_.erase(r.number);
            tell_all(r, out);
        }
        for (std::uint32_t n = 0; n < held.out; ++n) r.given.push_back({session, 0, 0, now});
        r.function->interested.insert(session);
        touch(*r.function);
        tell(r, session, out);
    }
    // What it takes unasked was free under the coordinator before: so it stays, unless it has been kept here
    // already; by the loads that are told with it the next sample judges it like any other.
    for (const Load& l : registration.unrestricted) {
        Function& f = function(l.service);
        f.interested.insert(session);
        if (now < f.coordinated_until) {
            out.push_back({session, Mode{f.name, false}});
            continue;
        }
        f.used_since = std::min(f.used_since, now - kKnown);
        f.last_used = now;
        f.parts[session] = {static_cast<double>(l.busy_ms) / 1e3, static_cast<double>(l.count), now};
        touch(f);
        if (!f.unrestricted) {
            f.unrestricted = true;
            for (const Session other : f.interested)
                if (other != session) out.push_back({other, Mode{f.name, true}});
        }
    }
    // One that kept on asking for what is free by now.
    std::set<std::string> kept;
    for (const Holding& held : registration.holdings) kept.insert(held.service);
    for (const Load& l : registration.unrestricted) kept.erase(l.service);
    for (const std::string& name : kept)
        if (function(name).unrestricted) out.push_back({session, Mode{name, true}});
    for (const std::uint32_t number : std::set<std::uint32_t>(starting_)) watch(runners_.at(number), out);
}

void SlotTable::front_left(Micros now, Session session, std::vector<FrontMail>& out) {
    if (fronts_.erase(session) == 0) return;
    for (auto& [name, f] : functions_) {
        f->interested.erase(session);
        f->parts.erase(session);
        f->waiting.front_left(session);
    }
    for (auto& [number, r] : runners_) {
        r.told.erase(session);
        // What it had out may be at work still; a runner drops most of it as the connection ends.
        if (std::erase_if(r.given, [&](const Slots::Given& g) { return g.front == session; }) > 0)
            r.aside_until = std::max(r.aside_until, now + 250'000);
        if (r.watcher == session) {
            r.watcher = 0;
            watch(r, out);
        }
    }
}

Function* SlotTable::ask(Micros now, Session session, const AcquireRequest& ask,
                         std::vector<FrontMail>& out) {
    const auto front = fronts_.find(session);
    if (front == fronts_.end()) return nullptr;
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
        for (const std::uint32_t number : f.runners)
            if (Slots& r = runners_.at(number); !r.draining) tell(r, session, out);
        if (f.unrestricted) out.push_back({session, Mode{f.name, true}});
    }
    if (ask.again) {
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
        f.came += usual(ask.shape) / 1e6;
    }
    if (Slots* const r = f.waiting.empty() ? choose(now, f, ask, front->second.zone) : nullptr) {
        grant(now, *r, session, ask, WaitedFor::nothing, out);
        return &f;
    }
    if (const std::uint32_t later = too_long(f, ask); later > 0) {
        out.push_back({session, AcquireDenied{ask.id, later, lacks(f)}});
        return &f;
    }
    const WaitQueue::Waiting waiting{session,
                                     ask,
                                     now,
                                     now + ask.aim_ms * 1000LL,
                                     now + ask.deadline_ms * 1000LL,
                                     static_cast<Micros>(usual(ask.shape)),
                                     lacks(f)};
    front->second.waiting[ask.id] = {&f, f.waiting.add(waiting)};
    serve(now, f, out);
    return &f;
}

Slots* SlotTable::choose(Micros now, Function& f, const AcquireRequest& ask, const std::string& zone) {
    if (const auto drawn = runners_.find(ask.drawn);
        drawn != runners_.end() && drawn->second.function == &f && open(now, drawn->second))
        return &drawn->second;
    Slots* best = nullptr;
    const auto rank = [&](const Slots& s) {
        return (s.what.zone == zone ? 2.0 : 0.0) - static_cast<double>(s.out()) / s.what.slots;
    };
    for (const std::uint32_t number : f.runners) {
        Slots& r = runners_.at(number);
        if (open(now, r) && (!best || rank(r) > rank(*best))) best = &r;
    }
    return best;
}

double SlotTable::slots_of(const Function& f) const {
    double slots = 0;
    for (const std::uint32_t number : f.runners)
        if (const Slots& r = runners_.at(number); !r.draining) slots += r.what.slots;
    return slots;
}

// Against a line so long that whoever comes now would be given up at its end: it is told at once when the
// line will have shrunk, and what is in the line has a chance. Two fifths of its time are left for the new
// try. 0: it may wait.
std::uint32_t SlotTable::too_long(const Function& f, const AcquireRequest& ask) const {
    const double slots = slots_of(f);
    if (slots == 0) return 0;
    const double wait_ms = f.waiting.work() / slots / 1e3;
    const double bearable = std::max<double>(ask.aim_ms, ask.deadline_ms * 0.6);
    if (wait_ms <= bearable) return 0;
    return static_cast<std::uint32_t>(std::clamp(wait_ms - bearable / 2, 100.0, 3000.0));
}

// What a request that finds no slot is waiting for.
WaitedFor SlotTable::lacks(const Function& f) const {
    for (const std::uint32_t number : f.runners)
        if (const Slots& r = runners_.at(number); r.state == RunnerState::ready && !r.draining)
            return WaitedFor::slot;
    return f.no_room ? WaitedFor::memory : WaitedFor::start;
}

void SlotTable::grant(Micros now, Slots& r, Session session, const AcquireRequest& ask, WaitedFor waited,
                      std::vector<FrontMail>& out) {
    r.given.push_back({session, ask.id, ask.shape, now});
    if (!r.told.contains(session)) tell(r, session, out);
    out.push_back({session, AcquireGranted{ask.id, r.number, waited}});
}

void SlotTable::serve(Micros now, Function& f, std::vector<FrontMail>& out) {
    WaitQueue::Place place = 0;
    // A late one never pushes out one that can be in aim but in its turn.
    while (const WaitQueue::Waiting* const first =
               f.waiting.first(now, f.turns + 1 >= options_.late_turn, place)) {
        const auto front = fronts_.find(first->front);
        Slots* const r = front != fronts_.end() ? choose(now, f, first->ask, front->second.zone) : nullptr;
        if (front != fronts_.end() && !r) return;
        const WaitQueue::Waiting next = *first;
        const bool late = f.waiting.is_late(place);
        const bool turn = f.turns + 1 >= options_.late_turn;
        f.waiting.leave(place);
        if (!r) continue;
        f.turns = late ? 0 : f.turns + 1;
        if (const WaitQueue::Waiting* const oldest = f.waiting.oldest();
            oldest && oldest->since < next.since) {
            ++f.overtaken;
            const bool passed = now > oldest->aim_at - oldest->work;
            overtakings_.add({now, f.name, next.front, oldest->front, next.ask.id, oldest->ask.id,
                              next.ask.priority, oldest->ask.priority, next.aim_at - now,
                              oldest->aim_at - now,
                              late && turn ? "turn_of_a_late_one"
                              : passed     ? "it_can_be_in_aim"
                                           : "less_time_left"});
        }
        front->second.waiting.erase(next.ask.id);
        grant(now, *r, next.front, next.ask, next.waits_for, out);
    }
}

void SlotTable::release(Micros now, Session session, const Release& m, std::vector<FrontMail>& out) {
    const auto front = fronts_.find(session);
    if (front == fronts_.end()) return;
    if (const auto waits = front->second.waiting.find(m.id);
        m.id > 0 && waits != front->second.waiting.end()) {
        waits->second.first->waiting.leave(waits->second.second);
        front->second.waiting.erase(waits);
        return;
    }
    const auto at = runners_.find(m.runner);
    if (at == runners_.end()) return;
    Slots& r = at->second;
    const auto given = std::find_if(r.given.begin(), r.given.end(), [&](const Slots::Given& g) {
        return g.front == session && g.ask == m.id;
    });
    if (given != r.given.end()) {
        if (m.how == Ended::answered && given->ask > 0)
            usual_[given->shape].add(static_cast<double>(m.took_ms) * 1e3);
        r.given.erase(given);
        if (r.given.empty()) r.idle_since = now;
    }
    Function& f = *r.function;
    if (m.how == Ended::gone) return gone(now, std::string(r.what.runner), "another has its address", out);
    if (m.how == Ended::unreachable) {
        // It had started and nobody listens there: tried once more after a while, since it may be the path.
        if (r.state == RunnerState::ready && r.given.empty() && r.aside_until > 0 && now >= r.aside_until &&
            now < r.aside_until + 2 * kAside)
            return gone(now, std::string(r.what.runner), "unreachable twice", out);
        if (now >= r.aside_until) r.aside_until = now + kAside;
    }
    if (m.how == Ended::turned_away) {
        r.aside_until = std::max(r.aside_until, now + 50'000);
        f.turned_away.push_back(now);
        if (f.unrestricted) settle_mode(now, f, out);
    }
    if (!f.waiting.empty()) serve(now, f, out);
}

void SlotTable::up(Micros now, Session session, const RunnerReachable& m, std::vector<FrontMail>& out) {
    const auto at = runners_.find(m.runner);
    if (at == runners_.end() || at->second.state != RunnerState::starting) return;
    Slots& r = at->second;
    if (!m.up) {
        if (r.watcher == session) gone(now, std::string(r.what.runner), "it did not start", out);
        return;
    }
    r.state = RunnerState::ready;
    starting_.erase(r.number);
    r.idle_since = now;
    tell_all(r, out);
    serve(now, *r.function, out);
}

// ---- free functions
// ------------------------------------------------------------------------------------------

void SlotTable::loads(Micros now, Session session, const LoadReport& m) {
    const auto front = fronts_.find(session);
    if (front == fronts_.end() || m.span_ms == 0) return;
    for (const Load& l : m.loads) {
        const auto known = functions_.find(l.service);
        if (known == functions_.end()) continue;
        Function& f = *known->second;
        f.parts[session] = {static_cast<double>(l.busy_ms) / m.span_ms, l.count * 1e3 / m.span_ms, now};
        if (l.count > 0) f.last_used = now;
        touch(f);
    }
}

void SlotTable::outs(Micros now, Session session, const OutstandingReport& m) {
    if (!fronts_.contains(session)) return;
    for (const auto& [number, count] : m.by_runner) {
        const auto at = runners_.find(number);
        if (at == runners_.end()) continue;
        for (std::uint32_t n = 0; n < std::min(count, at->second.what.slots); ++n)
            at->second.given.push_back({session, 0, 0, now});
    }
}

void SlotTable::set_mode(Function& f, bool unrestricted, std::vector<FrontMail>& out) {
    if (f.unrestricted == unrestricted) return;
    f.unrestricted = unrestricted;
    f.parts.clear();
    for (const Session front : f.interested) out.push_back({front, Mode{f.name, unrestricted}});
}

// By chance alone, how often would a runner be full if nobody asked?
void SlotTable::settle_mode(Micros now, Function& f, std::vector<FrontMail>& out) {
    while (!f.turned_away.empty() && f.turned_away.front() < now - 5'000'000) f.turned_away.pop_front();
    if (!f.service || !options_.may_be_unrestricted || f.service->most < kFewSlots)
        return set_mode(f, false, out);
    std::map<std::string, double> ready;
    for (const std::uint32_t number : f.runners)
        if (const Slots& r = runners_.at(number); r.state == RunnerState::ready && !r.draining)
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
        turned += part * rate * 5 * blocked(1.5 * load * part / count, f.service->most);
    }
    const double allowed = options_.rejection_slack;
    // The first one turned away is enough: of the allowed ones some more are on their way before all fronts
    // know.
    const bool known = now >= f.used_since + kKnown && now < f.last_used + kPause;
    if (f.unrestricted && (turned > 0.3 * allowed || !f.turned_away.empty() || !known)) {
        f.coordinated_until = now + kKept;
        set_mode(f, false, out);
    } else if (!f.unrestricted && known && now >= f.coordinated_until && f.waiting.empty() &&
               turned < 0.08 * allowed && f.turned_away.empty()) {
        set_mode(f, true, out);
    }
}

// ---- runners
// -------------------------------------------------------------------------------------------------

Slots& SlotTable::add(Micros now, const Holding& what) {
    const std::uint32_t number = next_number_++;
    Slots& r = runners_[number];
    r.number = number;
    r.what = what;
    r.what.out = 0;
    r.began = r.idle_since = now;
    Function& f = function(what.service);
    r.function = &f;
    if (f.service) r.what.slots = f.service->most;
    f.runners.push_back(number);
    by_name_[what.runner] = number;
    starting_.insert(number);
    touch(f);
    return r;
}

void SlotTable::began(Micros now, const Holding& what, std::vector<FrontMail>& out) {
    if (by_name_.contains(what.runner) || ended_.contains(what.runner)) return;
    Slots& r = add(now, what);
    watch(r, out);
}

void SlotTable::listed(Micros now, const Holding& what, bool draining, std::vector<FrontMail>& out) {
    const auto known = by_name_.find(what.runner);
    if (known == by_name_.end() && (draining || ended_.contains(what.runner))) return;
    Slots& r = known != by_name_.end() ? runners_.at(known->second) : add(now, what);
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

void SlotTable::gone(Micros now, const std::string& runner, const char*, std::vector<FrontMail>& out) {
    const auto known = by_name_.find(runner);
    ended_[runner] = now;
    if (known == by_name_.end()) return;
    Slots& r = runners_.at(known->second);
    r.state = RunnerState::gone;
    tell_all(r, out);
    starting_.erase(r.number);
    std::erase(r.function->runners, r.number);
    touch(*r.function);
    runners_.erase(known->second);
    by_name_.erase(known);
}

bool SlotTable::retire(Micros now, std::uint32_t number, std::vector<FrontMail>& out) {
    const auto at = runners_.find(number);
    if (at == runners_.end()) return true;
    Slots& r = at->second;
    if (!r.draining) {
        r.draining = true;
        r.retired = now;
        tell_all(r, out);
    }
    return r.given.empty() && now >= r.retired + (r.function->unrestricted ? kUnderWay : 0);
}

// ---- time
// ----------------------------------------------------------------------------------------------------

double SlotTable::expected_wait(Micros now, const Function& f) const {
    // When each slot comes free, by what is at work there; then one after the other for those who wait.
    std::vector<double> free_in;
    for (const std::uint32_t number : f.runners) {
        const Slots& r = runners_.at(number);
        if (r.draining) continue;
        double first = 0;
        if (r.state == RunnerState::starting)
            first = std::max(50'000.0,
                             static_cast<double>(r.began + (f.service ? f.service->boot : 1'000'000) - now));
        else if (now < r.aside_until)
            first = static_cast<double>(r.aside_until - now);
        for (const Slots::Given& g : r.given)
            free_in.push_back(std::max(usual(g.shape) - static_cast<double>(now - g.since), 20'000.0));
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

void SlotTable::tick(Micros now, std::vector<FrontMail>& out) {
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
            if (const auto front = fronts_.find(w->front); front != fronts_.end())
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
            if (const auto front = fronts_.find(w->front); front != fronts_.end())
                front->second.waiting.erase(w->ask.id);
            f.waiting.leave(place);
        }
        settle_mode(now, f, out);
        if (!f.waiting.empty()) serve(now, f, out);
        // A function that is to be warm is planned for whether or not anyone asks.
        if (f.runners.empty() && f.waiting.empty() && now > f.last_used + kForget &&
            !(f.service && f.service->warm())) {
            f.active = false;
            i = active_.erase(i);
        } else {
            ++i;
        }
    }
}

}  // namespace gannethold::cluster
