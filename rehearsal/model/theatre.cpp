#include "model/theatre.hpp"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace gannethold::rehearsal {
namespace {

constexpr Micros kStartTakes = 300'000;  // a process that is started again
constexpr Micros kNoticed = 1'000'000;   // until discovery has seen that a runner is gone

}  // namespace

Theatre::Theatre(const Day& day, std::uint64_t seed, Scene& scene)
    : registry(day.runners.size()),
      paths(day.path_delay),
      silent(day.runners.size()),
      day_(day),
      scene_(scene) {
    registry.lag = day.discovery_lag;
    // Which repeats are dropped together: by the group of the workloads, of which the widest counts.
    Group widest = Group::cell;
    for (const WorkloadPlan& w : day.workloads)
        if (w.effect == Effects::fingerprinted) widest = std::max(widest, w.group);
    std::vector<std::string> names;
    std::vector<std::size_t> of;
    for (const RunnerPlan& r : day.runners) {
        const std::string name = widest == Group::all    ? ""
                                 : widest == Group::zone ? r.hall
                                                         : std::to_string(r.cell);
        const auto found = std::find(names.begin(), names.end(), name);
        of.push_back(static_cast<std::size_t>(found - names.begin()));
        if (found == names.end()) names.push_back(name);
    }
    groups_.resize(names.size());
    runners.reserve(day.runners.size());
    for (std::size_t i = 0; i < day.runners.size(); ++i)
        runners.emplace_back(day.runners[i].name, day.runners[i].build, groups_[of[i]],
                             Chance(seed, 1'000 + i));
    Chance chance(seed, 13);
    for (const FaultPlan& f : day.faults) plan(f, chance);
    std::stable_sort(edges_.begin(), edges_.end(), [](const Edge& a, const Edge& b) { return a.at < b.at; });
}

void Theatre::at(Micros when, std::function<void(Micros)> happens) {
    edges_.push_back({when, edges_.size(), std::move(happens)});
}

void Theatre::play(Micros now) {
    while (edge_ < edges_.size() && edges_[edge_].at <= now) edges_[edge_++].happens(now);
}

bool Theatre::hands(std::size_t d, std::size_t r) const {
    return !silent[r] && (paths.calm() || !paths.between(place_of_dispatcher(d), place_of_runner(r), 0).cut);
}

// "r-2", "hall:a", "kind:m", "all", or "3 of" any of these.
std::vector<std::size_t> Theatre::struck(const std::string& on, Chance& chance) const {
    std::string whom = on;
    std::size_t most = day_.runners.size();
    if (const auto of = on.find(" of "); of != std::string::npos) {
        most = static_cast<std::size_t>(std::max(0, std::atoi(on.c_str())));
        whom = on.substr(of + 4);
    }
    std::vector<std::size_t> all;
    for (std::size_t i = 0; i < day_.runners.size(); ++i) {
        const RunnerPlan& r = day_.runners[i];
        if (whom == "all" || whom == r.name || whom == "hall:" + r.hall || whom == "kind:" + r.kind)
            all.push_back(i);
    }
    while (all.size() > most) all.erase(all.begin() + static_cast<std::ptrdiff_t>(chance.below(all.size())));
    return all;
}

void Theatre::list(Micros now, std::size_t r, RunnerState state) {
    registry.change(now, r, state, runners[r].started_at());
    scene_.roster_changes(now + registry.lag);
}

void Theatre::crash(Micros now, std::size_t r) {
    std::vector<Word> words;
    runners[r].crash(now, words);
    scene_.said(r, words);
    scene_.runner_down(r);
}

void Theatre::start(Micros now, std::size_t r) {
    runners[r].start(now);
    scene_.runner_up(r);
    list(now, r, RunnerState::ready);
}

void Theatre::plan(const FaultPlan& f, Chance& chance) {
    const Micros end = f.lasting > 0 ? f.at + f.lasting : 0;
    const auto shade = [&](Micros to) {
        shades.push_back({f.at, std::min(to > 0 ? to : day_.length, day_.length), f.what});
    };
    const auto each = [&](const auto& begin, const auto& finish) {
        Micros last = end;
        Micros later = 0;
        for (const std::size_t r : struck(f.on, chance)) {
            at(f.at + later, [=](Micros now) { begin(now, r); });
            if (end > 0) at(end + later, [=](Micros now) { finish(now, r); });
            if (end > 0) last = end + later;
            later += f.apart;
        }
        shade(last);
    };
    const auto troubles = [&](auto set) {
        const auto apply = [this, set](Micros now, std::size_t r, bool on) {
            Trouble t = runners[r].trouble;
            set(t, on);
            std::vector<Word> words;
            runners[r].pass(now, words);
            runners[r].apply(now, t);
            runners[r].pass(now, words);
            scene_.said(r, words);
        };
        each([apply](Micros now, std::size_t r) { apply(now, r, true); },
             [apply](Micros now, std::size_t r) { apply(now, r, false); });
    };
    const double amount = f.amount;
    switch (f.kind) {
        case FaultKind::crash:
            return each(
                [this](Micros now, std::size_t r) {
                    crash(now, r);
                    registry.change(now + kNoticed, r, RunnerState::gone, runners[r].started_at());
                    scene_.roster_changes(now + kNoticed + registry.lag);
                },
                [this](Micros now, std::size_t r) { start(now, r); });
        case FaultKind::vanish:
            return each(
                [this](Micros now, std::size_t r) {
                    silent[r] = true;
                    scene_.runner_silent(r, true);
                    registry.change(now + kNoticed, r, RunnerState::gone, runners[r].started_at());
                    scene_.roster_changes(now + kNoticed + registry.lag);
                },
                [this](Micros now, std::size_t r) {
                    silent[r] = false;
                    scene_.runner_silent(r, false);
                    list(now, r, RunnerState::ready);
                });
        case FaultKind::drain:
            return each([this](Micros now, std::size_t r) { list(now, r, RunnerState::draining); },
                        [this](Micros now, std::size_t r) { list(now, r, RunnerState::ready); });
        case FaultKind::release: {
            Micros later = 0;
            for (const std::size_t r : struck(f.on, chance)) {
                const Micros ends =
                    f.at + later + day_.discovery_lag + day_.rules.grace + static_cast<Micros>(amount * 1e6);
                at(f.at + later, [this, r](Micros now) { list(now, r, RunnerState::draining); });
                at(ends, [this, r](Micros now) { crash(now, r); });
                at(ends + kStartTakes, [this, r](Micros now) { start(now, r); });
                later += f.apart;
                shade(ends + kStartTakes);
            }
            return;
        }
        case FaultKind::hold:
            return each([this](Micros, std::size_t r) { scene_.hold(r, true); },
                        [this](Micros, std::size_t r) { scene_.hold(r, false); });
        case FaultKind::hang:
            return troubles([](Trouble& t, bool on) { t.hangs = on; });
        case FaultKind::stall:
            return troubles([](Trouble& t, bool on) { t.stalls = on; });
        case FaultKind::slow:
            return troubles([amount](Trouble& t, bool on) { t.slowness = on ? amount : 1; });
        case FaultKind::errors:
            return troubles([amount](Trouble& t, bool on) { t.errors = on ? amount : 0; });
        case FaultKind::garbled:
            return troubles([amount](Trouble& t, bool on) { t.garbles = on ? amount : 0; });
        case FaultKind::cut_answers:
            return troubles([amount](Trouble& t, bool on) { t.cuts = on ? amount : 0; });
        case FaultKind::resets:
            return troubles([amount](Trouble& t, bool on) { t.resets = on ? amount : 0; });
        case FaultKind::late_reports:
            return troubles([amount](Trouble& t, bool on) {
                t.reports_late = on ? static_cast<Micros>(amount * 1e6) : 0;
            });
        case FaultKind::discovery_down:
            at(f.at, [this](Micros) { registry.down = true, scene_.discovery_down(true); });
            if (end > 0) at(end, [this](Micros) { registry.down = false, scene_.discovery_down(false); });
            return shade(end);
        case FaultKind::discovery_lag:
            at(f.at, [this, amount](Micros) { registry.lag = static_cast<Micros>(amount * 1e6); });
            if (end > 0) at(end, [this](Micros) { registry.lag = day_.discovery_lag; });
            return shade(end);
        case FaultKind::discovery_moved:
            at(f.at, [this](Micros) { scene_.discovery_moved(); });
            return shade(f.at + 500'000);
        case FaultKind::discovery_back:
            at(f.at, [this](Micros) { registry.count_anew(), scene_.discovery_back(); });
            return shade(f.at + 500'000);
        case FaultKind::delay:
        case FaultKind::connects_lost:
        case FaultKind::cut:
        case FaultKind::narrow: {
            PathTrouble t;
            t.from = f.from, t.to = f.to;
            if (f.kind == FaultKind::delay) t.delay = static_cast<Micros>(amount * 1e3);
            if (f.kind == FaultKind::connects_lost) t.loses_connects = amount;
            if (f.kind == FaultKind::narrow) t.bytes_a_second = amount;
            if (f.kind == FaultKind::cut) t.cut = true, t.resets = f.resets;
            auto number = std::make_shared<std::size_t>(0);
            at(f.at, [this, t, number](Micros) { *number = paths.add(t), scene_.paths_changed(); });
            if (end > 0) at(end, [this, number](Micros) { paths.remove(*number), scene_.paths_changed(); });
            return shade(end);
        }
        case FaultKind::kill:
        case FaultKind::restart:
        case FaultKind::reload:
        case FaultKind::drain_dispatcher: {
            Micros later = 0;
            for (std::size_t d = 0; d < day_.dispatchers.count; ++d) {
                if (f.on != "all" && f.on != "d-" + std::to_string(d + 1) &&
                    f.on != "hall:" + day_.dispatcher_hall(d))
                    continue;
                const FaultKind kind = f.kind;
                const Micros away = f.lasting;
                if (kind == FaultKind::drain_dispatcher && away > 0)
                    at(f.at + later + away, [this, d](Micros) { scene_.undrain(d); });
                at(f.at + later, [this, kind, d, away, amount](Micros) {
                    if (kind == FaultKind::drain_dispatcher)
                        scene_.drain(d, static_cast<Micros>(amount * 1e6));
                    if (kind == FaultKind::kill) scene_.kill(d, away);
                    if (kind == FaultKind::restart) scene_.restart(d);
                    if (kind == FaultKind::reload) scene_.reload(d);
                });
                later += f.apart;
            }
            return shade(f.at + later + std::max<Micros>(500'000, f.lasting));
        }
        case FaultKind::surge:
            at(f.at, [this, amount](Micros) { scene_.surge(amount); });
            if (end > 0) at(end, [this](Micros) { scene_.surge(1); });
            return shade(end);
    }
}

}  // namespace gannethold::rehearsal
