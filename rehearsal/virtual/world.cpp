#include "virtual/world.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <sstream>
#include <utility>

#include "dispatcher/dispatcher_config.hpp"
#include "snapshot/decay.hpp"
#include "model/poison.hpp"

namespace gannethold::rehearsal {
namespace {

constexpr std::size_t kBytesOfATask = 600;
constexpr Micros kFailsAfter = 5'000;     // a call to a discovery that is down
constexpr Micros kFollowAgain = 500'000;  // where changes are pushed: the host's own watch
constexpr Micros kFrontNotices = 500'000, kFrontLooks = 200'000;
constexpr Micros kStartTakes = 200'000;  // a dispatcher's process
constexpr Micros kAfterDay = 1'000'000;  // beyond the longest expiry, for what is still out

template <class... Ts>
struct Match : Ts... {
    using Ts::operator()...;
};

bool later(const auto& a, const auto& b) { return std::pair(a.at, a.order) > std::pair(b.at, b.order); }

}  // namespace

World::World(const Day& day, std::uint64_t seed, PolicyMaker maker)
    : day_(day),
      seed_(seed),
      maker_(std::move(maker)),
      judge_(day),
      tally_(day),
      callers_(day, seed),
      chance_(seed, 21),
      theatre_(day, seed, *this),
      nodes_(day.dispatchers.count),
      runner_life_(day.runners.size(), 1),
      runner_wake_(day.runners.size(), kNever) {
    for (const RunnerPlan& r : day.runners)
        if (std::find(kinds_.begin(), kinds_.end(), r.kind) == kinds_.end()) kinds_.push_back(r.kind);
    for (std::size_t d = 0; d < nodes_.size(); ++d) {
        // By the same reader as real dispatchers: what the day says is read as they would read it.
        const std::string text = day.posting(d, "127.0.0.1:1", "127.0.0.1:2", seed + d,
                                             R"({"version":1,"full":true,"servers":[]})");
        orders_.push_back(dispatcher::DispatcherConfig::read(text).settings);
        start_node(d);
    }
}

void World::at(Micros when, std::function<void()> happens) {
    heap_.push_back({std::max(when, now_), ++order_, std::move(happens)});
    std::push_heap(heap_.begin(), heap_.end(), [](const Due& a, const Due& b) { return later(a, b); });
}

void World::at_for(std::size_t d, Micros when, std::function<void()> happens) {
    at(when, [this, d, life = nodes_[d].life, happens = std::move(happens)] {
        if (nodes_[d].up && nodes_[d].life == life) happens();
    });
}

Result World::play(const std::function<bool(Micros now)>& stop) {
    Micros longest = 0;
    for (const WorkloadPlan& w : day_.workloads) longest = std::max(longest, w.expiry);
    const Micros end = day_.length + longest + day_.rules.slack + kAfterDay;
    if (day_.clients.arrivals == Arrivals::closed) {
        for (std::size_t i = 0; i < day_.clients.connections; ++i) at(0, [this] { next_call(); });
    } else {
        next_call();
    }
    const std::function<void()> edges = [this, &edges] {
        theatre_.play(now_);
        if (theatre_.next() != kNever) at(theatre_.next(), edges);
    };
    if (theatre_.next() != kNever) at(theatre_.next(), edges);
    const std::function<void()> sampler = [this, &sampler] {
        std::vector<double> in_flight(day_.runners.size()), fractions(day_.runners.size());
        for (std::size_t r = 0; r < in_flight.size(); ++r)
            in_flight[r] = static_cast<double>(theatre_.runners[r].held());
        for (const Node& n : nodes_) {
            const auto part = n.policy ? n.policy->fractions(fractions.size()) : std::vector<double>{};
            for (std::size_t r = 0; r < part.size(); ++r)
                fractions[r] += part[r] / static_cast<double>(nodes_.size());
        }
        tally_.sample(now_, std::move(in_flight), std::move(fractions));
        judge_.pass(now_);
        for (std::size_t d = 0; d < nodes_.size() && now_ / 1'000'000 % 2 == 0; ++d) keep(d);
        if (now_ + 1'000'000 <= day_.length) at(now_ + 1'000'000, sampler);
    };
    at(1'000'000, sampler);
    std::uint64_t steps = 0;
    bool stopped = false;
    while (!heap_.empty() && heap_.front().at <= end && !stopped) {
        std::pop_heap(heap_.begin(), heap_.end(), [](const Due& a, const Due& b) { return later(a, b); });
        Due due = std::move(heap_.back());
        heap_.pop_back();
        now_ = due.at;
        due.happens();
        stopped = (++steps & 0xFFF) == 0 && stop && stop(now_);
    }
    if (stopped) {
        tally_.result().cut_short = "ended by hand after " + std::to_string(now_ / 1'000'000) + " s";
    } else {
        for (std::size_t o = 0; o < origins_.size(); ++o)
            if (!origins_[o].over) done_with(o, Fate::lost);
        judge_.close(end + 1);
    }
    Result result = tally_.finish(judge_);
    result.missed.insert(result.missed.end(), missed_.begin(), missed_.end());
    result.lane = "virtual";
    result.seed = seed_;
    result.shades = theatre_.shades;
    return result;
}

// ---- dispatchers
// -------------------------------------------------------------------------------------------

void World::start_node(std::size_t d) {
    Node& n = nodes_[d];
    ++n.life;
    n.up = n.healthy = true, n.settling = n.watching = n.turns_away = false;
    n.drain = drain::Drain(drain::DrainSettings{kFrontNotices, 1'000'000});
    if (n.held.empty()) n.held.assign(day_.runners.size(), false);
    n.tasks.clear();
    n.version = 0;
    n.idle.assign(day_.runners.size(), {});
    n.open.assign(day_.runners.size(), true);
    const Truth truth = [this](RunnerId id) {
        const auto r = static_cast<std::size_t>(id);
        const Runner& runner = theatre_.runners[r];
        if (!runner.up() || theatre_.silent[r] || runner.trouble.hangs || runner.trouble.stalls)
            return HUGE_VAL;
        const double usual = static_cast<double>(day_.workloads.front().work);
        const double waits = static_cast<double>(runner.held()) + 1, slots = runner.build().slots;
        const double fails =
            runner.trouble.errors + runner.trouble.garbles + runner.trouble.cuts + runner.trouble.resets;
        // Also one that sees all must not push a cold one over.
        if (runner.started_at() > 0 &&
            static_cast<double>(runner.held()) * usual >= runner.capacity(now_) * 1e6)
            return 1e15;
        const double each = usual * runner.build().cores / std::max(1e-9, runner.capacity(now_));
        return each * std::max(1.0, waits / slots) * (1 + 100 * fails);
    };
    n.policy = maker_(d, orders_[d], seed_ * 1'000 + d + n.life, truth);
    // What it last held: all of them, as they were at the beginning, however they are now.
    MembershipUpdate known{UpdateScope::cached, 1, {}};
    for (std::size_t r = 0; r < day_.runners.size(); ++r)
        known.entries.push_back(entry_for(d, {r, RunnerState::ready, 0}));
    note(d, known);
    if (n.kept) n.policy->believe(*n.kept);
    if (!day_.dispatchers.on_request) follow(d);
}

void World::note(std::size_t d, const Event& event) {
    Node& n = nodes_[d];
    n.policy->note(now_, event);
    if (std::exchange(n.settling, true)) return;
    at_for(d, now_, [this, d] { settle(d); });
}

void World::settle(std::size_t d) {
    Node& n = nodes_[d];
    n.settling = false;
    std::vector<Action> actions;
    n.policy->settle(now_, actions);
    for (const Action& a : actions) carry_out(d, a);
}

void World::carry_out(std::size_t d, const Action& action) {
    std::visit(Match{[&](const Assign& a) { assign(d, a); },
                     [&](const Bounce& a) { answer(d, a.task, Final::bounced, a.retry_after); },
                     [&](const Abandon& a) { answer(d, a.task, Final::abandoned, 0); },
                     [&](const Withdraw& a) {
                         give_up_leg(d, a.task, static_cast<std::size_t>(a.assignment), Outcome::withdrawn,
                                     Outcome::not_started);
                     },
                     [&](const WakeAt& a) {
                         at_for(d, a.at, [this, d, mark = a.timer] { note(d, TimerFired{mark}); });
                     },
                     [&](const Probe& a) { probe(d, a.runner); },
                     [&](const CloseIdle& a) { nodes_[d].idle[static_cast<std::size_t>(a.runner)].clear(); },
                     [&](const BroadcastToPeers& a) {
                         for (std::size_t p = 0; p < nodes_.size(); ++p)
                             if (p != d)
                                 carry_out(d, SendToPeer{PeerId(static_cast<std::uint32_t>(p)), a.payload});
                     },
                     [&](const SendToPeer& a) {
                         const auto p = static_cast<std::size_t>(a.to);
                         if (p >= nodes_.size()) return;
                         const Passage way =
                             theatre_.paths.between(theatre_.place_of_dispatcher(d),
                                                    theatre_.place_of_dispatcher(p), a.payload.size());
                         if (way.cut) return;
                         at_for(p, now_ + way.takes, [this, d, p, words = a.payload] {
                             note(p, PeerMessage{PeerId(static_cast<std::uint32_t>(d)), words});
                         });
                     },
                     [&](const LogLine&) {},
                     [&](const WatchMembership& a) {
                         if (a.on)
                             follow(d);
                         else
                             nodes_[d].watching = false;
                     },
                     [&](const FetchMembership&) { bulletin(d, true); }},
               action);
}

// ---- assignments
// -------------------------------------------------------------------------------------------

void World::assign(std::size_t d, const Assign& wanted) {
    Node& n = nodes_[d];
    const auto found = n.tasks.find(wanted.task);
    if (found == n.tasks.end()) return;
    Task& task = found->second;
    const auto r = static_cast<std::size_t>(wanted.runner);
    const std::size_t number = task.legs.size();
    task.legs.push_back({++tokens_, r, now_, false, false});
    ++task.out;
    const Micros stop_at = wanted.deadline > 0 ? std::min(wanted.deadline, task.expiry) : task.expiry;
    if (task.answered || stop_at <= now_) return end_leg(d, wanted.task, number, Outcome::not_started);
    const OutLeg leg{d, r, n.life, wanted.task, number, task.request};
    out_.emplace(tokens_, leg);
    at_for(d, stop_at, [this, d, id = wanted.task, number] {
        give_up_leg(d, id, number, Outcome::timed_out, Outcome::not_started);
    });

    const Origin& o = origins_[task.origin];
    const WorkloadPlan& w = day_.workloads[o.call.workload];
    Job job;
    job.token = tokens_, job.request = task.request, job.work = o.call.work, job.slots = w.slots,
    job.memory = w.memory;
    job.fingerprint = w.effect == Effects::fingerprinted ? o.call.key : 0;
    job.repeats_within = w.window;

    const Passage way =
        theatre_.paths.between(theatre_.place_of_dispatcher(d), theatre_.place_of_runner(r), kBytesOfATask);
    auto& idle = n.idle[r];
    const Micros keep = day_.runners[r].build.keeps_idle * 3 / 4;
    std::erase_if(idle, [&](Micros since) { return now_ - since > keep; });
    const bool kept = !idle.empty();
    if (kept) {
        idle.pop_back();
        const double resets = theatre_.runners[r].trouble.resets;
        if (chance_.happens(resets)) {
            task.legs[number].written = true;
            idle.clear();
            at_for(d, now_ + 2 * way.takes,
                   [this, d, id = wanted.task, number] { end_leg(d, id, number, Outcome::reset); });
            return;
        }
        task.legs[number].written = true;
        at(now_ + way.takes, [this, leg, job, takes = way.takes] { deliver(leg, job, true, takes); });
        return;
    }
    const bool silent = theatre_.silent[r] || (way.cut && !way.resets) || chance_.happens(way.loses_connects);
    const bool refused = !theatre_.runners[r].up() || (way.cut && way.resets);
    if (silent || refused) {
        const Micros fails = silent ? day_.dispatchers.connect_limit : 2 * way.takes;
        at_for(d, now_ + fails,
               [this, d, id = wanted.task, number] { end_leg(d, id, number, Outcome::connect_failed); });
        return;
    }
    ++tally_.result().connections;
    at_for(d, now_ + 2 * way.takes, [this, leg, job, takes = way.takes] {
        const auto found_task = nodes_[leg.dispatcher].tasks.find(leg.task);
        if (found_task == nodes_[leg.dispatcher].tasks.end() || found_task->second.legs[leg.number].ended)
            return;
        // Nothing is begun at a runner that has come to drain while the connection came up.
        if (!nodes_[leg.dispatcher].open[leg.runner])
            return end_leg(leg.dispatcher, leg.task, leg.number, Outcome::full);
        found_task->second.legs[leg.number].written = true;
        if (theatre_.runners[leg.runner].up()) theatre_.runners[leg.runner].connection_made(now_);
        at(now_ + takes, [this, leg, job, takes] { deliver(leg, job, false, takes); });
    });
}

void World::deliver(const OutLeg& leg, const Job& job, bool kept, Micros takes) {
    if (!theatre_.hands(leg.dispatcher, leg.runner)) return;  // lost on the way, and nobody says so
    Runner& runner = theatre_.runners[leg.runner];
    if (!runner.up()) {
        at_for(leg.dispatcher, now_ + takes, [this, leg, kept] {
            end_leg(leg.dispatcher, leg.task, leg.number, kept ? Outcome::reset : Outcome::connect_failed);
        });
        return;
    }
    judge_.reached(now_, job.request, job.token, leg.runner, leg.dispatcher, now_, takes);
    if (!out_.contains(job.token)) {
        // Given up while it was on its way: the runner reads it and finds the connection closed.
        judge_.connection_gone(now_, job.request, job.token);
        return;
    }
    words_.clear();
    const bool was_up = runner.up();
    runner.take(now_, job, words_);
    const std::vector<Word> words = words_;
    said(leg.runner, words);
    if (was_up && !runner.up()) {
        ++tally_.result().toppled;
        judge_.toppled(now_, leg.runner, runner.take_window_tokens());
        theatre_.registry.change(now_ + 1'000'000, leg.runner, RunnerState::gone, runner.started_at());
        roster_changes(now_ + 1'000'000 + theatre_.registry.lag);
        runner_down(leg.runner);
    }
    wake_runner(leg.runner);
}

void World::wake_runner(std::size_t r) {
    const Micros next = theatre_.runners[r].next();
    if (next == kNever || (runner_wake_[r] <= next && runner_wake_[r] > now_)) return;
    runner_wake_[r] = next;
    at(next, [this, r, next] {
        if (runner_wake_[r] != next) return;
        runner_wake_[r] = kNever;
        std::vector<Word> words;
        theatre_.runners[r].pass(now_, words);
        said(r, words);
        wake_runner(r);
    });
}

Report World::report_of(std::size_t r) const {
    const Load load = theatre_.runners[r].load(now_);
    Report report;
    for (const std::string& name : day_.dispatchers.reports)
        report.push_back(name == "x0"    ? load.free
                         : name == "q"   ? load.waiting
                         : name == "rif" ? load.held
                                         : load.busy);
    return report;
}

void World::said(std::size_t r, const std::vector<Word>& words) {
    for (const Word& word : words) {
        judge_.said(now_, word);
        const auto found = out_.find(word.token);
        if (found == out_.end()) continue;
        const OutLeg leg = found->second;
        if (!theatre_.hands(leg.dispatcher, r)) continue;
        const Passage way = theatre_.paths.between(theatre_.place_of_dispatcher(leg.dispatcher),
                                                   theatre_.place_of_runner(r), kBytesOfATask);
        const Micros when = now_ + way.takes;
        if (word.said == Said::started || word.said == Said::running) {
            if (word.said == Said::started && !day_.runners[r].build.tells_start) continue;
            at_for(leg.dispatcher, when, [this, leg, word] {
                if (!out_.contains(word.token)) return;
                note(leg.dispatcher,
                     Progress{leg.task, word.share, RunnerId(static_cast<std::uint32_t>(leg.runner)),
                              static_cast<int>(leg.number),
                              word.said == Said::started ? Stage::begun : Stage::progress});
            });
            continue;
        }
        const Outcome outcome = word.said == Said::done || word.said == Said::dropped     ? Outcome::finished
                                : word.said == Said::failed || word.said == Said::garbled ? Outcome::error
                                : word.said == Said::returned                             ? Outcome::full
                                                                                          : Outcome::reset;
        const bool tells =
            outcome == Outcome::finished || outcome == Outcome::full || word.said == Said::failed;
        at_for(leg.dispatcher, when, [this, leg, outcome, report = tells ? report_of(r) : Report{}] {
            if (outcome == Outcome::finished || outcome == Outcome::full)
                nodes_[leg.dispatcher].idle[leg.runner].push_back(now_);
            end_leg(leg.dispatcher, leg.task, leg.number, outcome, report);
        });
    }
    if (!words.empty()) wake_runner(r);
}

void World::end_leg(std::size_t d, TaskId id, std::size_t number, Outcome outcome, Report report) {
    Node& n = nodes_[d];
    const auto found = n.tasks.find(id);
    if (found == n.tasks.end()) return;
    Task& task = found->second;
    Leg& leg = task.legs[number];
    if (std::exchange(leg.ended, true)) return;
    out_.erase(leg.token);
    --task.out;
    AssignmentEnded e;
    e.task = id;
    e.elapsed = now_ - leg.since;
    e.runner = RunnerId(static_cast<std::uint32_t>(leg.runner));
    e.assignment = static_cast<int>(number);
    e.outcome = outcome;
    e.report = std::move(report);
    if (outcome == Outcome::reset || outcome == Outcome::connect_failed) n.idle[leg.runner].clear();
    if (outcome == Outcome::finished && !task.answered) answer(d, id, Final::finished, 0);
    e.task_answered = task.answered;
    note(d, e);
    forget_if_over(d, id);
}

void World::give_up_leg(std::size_t d, TaskId id, std::size_t number, Outcome written, Outcome unwritten) {
    const auto found = nodes_[d].tasks.find(id);
    if (found == nodes_[d].tasks.end() || number >= found->second.legs.size()) return;
    const Leg leg = found->second.legs[number];
    if (leg.ended) return;
    const std::uint64_t request = found->second.request;
    if (leg.written) {
        const Passage way =
            theatre_.paths.between(theatre_.place_of_dispatcher(d), theatre_.place_of_runner(leg.runner), 0);
        at(now_ + way.takes, [this, leg, request] {
            judge_.connection_gone(now_, request, leg.token);
            std::vector<Word> words;
            theatre_.runners[leg.runner].drop(now_, leg.token, words);
            said(leg.runner, words);
            wake_runner(leg.runner);
        });
    }
    end_leg(d, id, number, leg.written ? written : unwritten);
}

// Connections of all those are reset: what was written may have run.
void World::reset_legs(const std::function<bool(const OutLeg&)>& which) {
    std::vector<std::pair<std::uint64_t, OutLeg>> all;
    for (const auto& [token, leg] : out_)
        if (which(leg)) all.emplace_back(token, leg);
    std::sort(all.begin(), all.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    for (const auto& [token, leg] : all) {
        const auto task = nodes_[leg.dispatcher].tasks.find(leg.task);
        if (task == nodes_[leg.dispatcher].tasks.end() || !task->second.legs[leg.number].written) continue;
        at_for(leg.dispatcher, now_ + day_.path_delay,
               [this, leg] { end_leg(leg.dispatcher, leg.task, leg.number, Outcome::reset); });
    }
}

void World::runner_down(std::size_t r) {
    for (Node& n : nodes_) n.idle[r].clear();
    reset_legs([r](const OutLeg& leg) { return leg.runner == r; });
}

void World::runner_silent(std::size_t r, bool silent) {
    if (silent) return;
    // It is back: what stood open meanwhile is reset with the first byte that crosses.
    for (Node& n : nodes_) n.idle[r].clear();
    reset_legs([r](const OutLeg& leg) { return leg.runner == r; });
    wake_runner(r);
}

void World::paths_changed() {
    reset_legs([this](const OutLeg& leg) {
        return theatre_.paths
            .between(theatre_.place_of_dispatcher(leg.dispatcher), theatre_.place_of_runner(leg.runner), 0)
            .resets;
    });
}

void World::probe(std::size_t d, RunnerId id) {
    ++tally_.result().probes;
    const auto r = static_cast<std::size_t>(id);
    const Passage way =
        theatre_.paths.between(theatre_.place_of_dispatcher(d), theatre_.place_of_runner(r), 100);
    const Micros asked = now_;
    const auto ended = [this, d, id, asked](Micros when, Outcome outcome, Report report) {
        at_for(d, when, [this, d, id, asked, outcome, report = std::move(report)] {
            note(d, ProbeEnded{id, outcome, now_ - asked, report});
        });
    };
    if (!theatre_.hands(d, r) && !way.resets)
        return ended(now_ + day_.dispatchers.connect_limit, Outcome::connect_failed, {});
    if (way.resets || !theatre_.runners[r].up())
        return ended(now_ + 2 * way.takes, Outcome::connect_failed, {});
    at_for(d, now_ + way.takes, [this, r, asked, ended, takes = way.takes] {
        if (!theatre_.runners[r].answers_probes())
            return ended(asked + day_.dispatchers.connect_limit, Outcome::timed_out, {});
        ended(now_ + takes, Outcome::finished, report_of(r));
    });
}

// ---- discovery
// ---------------------------------------------------------------------------------------------

void World::follow(std::size_t d) {
    if (theatre_.registry.down) {
        at_for(d, now_ + kFailsAfter, [this, d] {
            note(d, MembershipUpdate{UpdateScope::failed, nodes_[d].version, {}});
            if (!day_.dispatchers.on_request) at_for(d, now_ + kFollowAgain, [this, d] { follow(d); });
        });
        return;
    }
    nodes_[d].watching = true;
    bulletin(d, nodes_[d].version == 0);
}

// As that dispatcher hears of it: who is held back drains, whatever the list says.
EndpointEntry World::entry_for(std::size_t d, const Listed& e) const {
    const RunnerPlan& plan = day_.runners[e.runner];
    const auto hall = std::find(day_.halls.begin(), day_.halls.end(), plan.hall) - day_.halls.begin();
    const auto kind = std::find(kinds_.begin(), kinds_.end(), plan.kind) - kinds_.begin();
    const bool held = e.state == RunnerState::ready && nodes_[d].held[e.runner];
    return {RunnerId(static_cast<std::uint32_t>(e.runner)),
            ZoneId(static_cast<std::uint32_t>(hall)),
            InstanceTypeId(static_cast<std::uint32_t>(kind)),
            GroupId{plan.cell},
            held ? RunnerState::draining : e.state,
            1,
            e.started_at};
}

void World::bulletin(std::size_t d, bool all) {
    Node& n = nodes_[d];
    const Bulletin b = theatre_.registry.since(all ? std::nullopt : std::optional(n.version));
    n.version = b.version;
    MembershipUpdate news{b.full ? UpdateScope::complete : UpdateScope::delta, b.version, {}};
    for (const Listed& e : b.entries) {
        news.entries.push_back(entry_for(d, e));
        judge_.told(now_, d, e.runner, e.state, e.started_at);
    }
    if (b.full)
        for (std::size_t r = 0; r < day_.runners.size(); ++r)
            if (theatre_.registry.held(r).state == RunnerState::gone)
                judge_.told(now_, d, r, RunnerState::gone, 0);
    at_for(d, now_ + day_.path_delay, [this, d, news = std::move(news)] {
        if (news.scope == UpdateScope::complete) nodes_[d].open.assign(day_.runners.size(), false);
        for (const EndpointEntry& e : news.entries) {
            const auto r = static_cast<std::size_t>(e.runner);
            nodes_[d].open[r] = e.state == RunnerState::ready;
            if (e.state != RunnerState::ready) nodes_[d].idle[r].clear();
        }
        note(d, news);
    });
}

void World::roster_changes(Micros when) {
    at(when, [this] { tell_watchers(); });
}

void World::tell_watchers() {
    if (!theatre_.registry.pass(now_) || theatre_.registry.down) return;
    for (std::size_t d = 0; d < nodes_.size(); ++d)
        if (nodes_[d].up && nodes_[d].watching) bulletin(d, false);
}

void World::end_watches() {
    for (std::size_t d = 0; d < nodes_.size(); ++d) {
        if (!nodes_[d].up || !std::exchange(nodes_[d].watching, false)) continue;
        at_for(d, now_ + day_.path_delay, [this, d] {
            note(d, MembershipUpdate{UpdateScope::failed, nodes_[d].version, {}});
            if (!day_.dispatchers.on_request) at_for(d, now_ + kFollowAgain, [this, d] { follow(d); });
        });
    }
}

void World::discovery_down(bool down) {
    if (down) end_watches();
}
void World::discovery_moved() {
    for (Node& n : nodes_) n.version = 0;
    end_watches();
}
void World::discovery_back() {
    for (Node& n : nodes_) n.version = 0;
    end_watches();
}

// ---- dispatchers that go and come
// --------------------------------------------------------------------------

void World::kill(std::size_t d, Micros back_after) {
    Node& n = nodes_[d];
    if (!n.up) return;
    judge_.died(now_, d);
    n.up = false;
    std::vector<std::uint64_t> gone;
    for (const auto& [token, leg] : out_)
        if (leg.dispatcher == d) gone.push_back(token);
    std::sort(gone.begin(), gone.end());
    for (const std::uint64_t token : gone) {
        const OutLeg leg = out_[token];
        out_.erase(token);
        std::vector<Word> words;
        judge_.connection_gone(now_, leg.request, token);
        theatre_.runners[leg.runner].drop(now_, token, words);
        said(leg.runner, words);
    }
    std::vector<std::size_t> waiting;
    for (const auto& [id, task] : n.tasks)
        if (!task.answered) waiting.push_back(task.origin);
    std::sort(waiting.begin(), waiting.end());
    n.tasks.clear();
    for (const std::size_t o : waiting) {
        // The client finds its connection reset: only what does no harm is asked again.
        const WorkloadPlan& w = day_.workloads[origins_[o].call.workload];
        const bool harmless =
            w.effect == Effects::idempotent || (w.effect == Effects::fingerprinted && w.group == Group::all);
        origins_[o].request = 0;
        if (harmless && origins_[o].tries < day_.clients.tries)
            at(now_ + day_.clients.retry_after, [this, o] { call(o); });
        else
            done_with(o, Fate::lost);
    }
    if (back_after > 0) at(now_ + back_after, [this, d] { start_node(d); });
}

std::size_t World::unanswered(std::size_t d) const {
    return static_cast<std::size_t>(std::count_if(nodes_[d].tasks.begin(), nodes_[d].tasks.end(),
                                                  [](const auto& t) { return !t.second.answered; }));
}

// The same machine as in the real dispatcher, and what it wants carried out as far as virtual time has it.
void World::look_at_drain(std::size_t d) {
    Node& n = nodes_[d];
    if (!n.up) return;
    const std::size_t left = unanswered(d);
    const drain::DrainDirective wanted = n.drain.evaluate(now_, {left, left});
    n.turns_away = wanted.rejects_new_tasks;
    const bool healthy = wanted.is_healthy;
    // The front finds out when it looks.
    if (healthy != n.healthy)
        at_for(d, now_ + kFrontLooks, [this, d, healthy] { nodes_[d].healthy = healthy; });
    if (wanted.answers_waiting_tasks) note(d, DrainDeadline{});
    if (wanted.should_exit) {
        keep(d);
        n.up = false;
        at(now_ + kStartTakes, [this, d] { start_node(d); });
    } else if (wanted.next_evaluation_at > now_) {
        at_for(d, wanted.next_evaluation_at, [this, d, life = n.orders] {
            if (nodes_[d].orders == life) look_at_drain(d);
        });
    }
}

// As a snapshot would have it: no more samples than a reader believes.
void World::keep(std::size_t d) {
    if (!day_.dispatchers.keepsake || !nodes_[d].up) return;
    nodes_[d].kept = nodes_[d].policy->lore();
    if (!nodes_[d].kept) return;
    const auto cap = [](Histogram& h) {
        h.assign_bins(
            snapshot::decayed({h.bins().begin(), h.bins().end()}, 1, snapshot::DecayPolicy{}.max_samples));
    };
    for (RunnerEstimates& r : nodes_[d].kept->runners) cap(r.latency);
    for (InstanceTypeEstimates& k : nodes_[d].kept->instance_types) cap(k.latency);
    for (Histogram& h : nodes_[d].kept->workloads) cap(h);
    if (!day_.dispatchers.poisoned) return;
    const auto slow = [](const auto& one) { return middle_bin(one.latency.bins()); };
    put_wrong_way_round(nodes_[d].kept->runners, slow,
                        [](RunnerEstimates& a, RunnerEstimates& b) { swap_beliefs(a, b); });
    put_wrong_way_round(
        nodes_[d].kept->instance_types, slow,
        [](InstanceTypeEstimates& a, InstanceTypeEstimates& b) { std::swap(a.latency, b.latency); });
}

void World::restart(std::size_t d) {
    Node& n = nodes_[d];
    if (!n.up) return;
    Micros longest = 0;
    for (const WorkloadPlan& w : day_.workloads) longest = std::max(longest, w.expiry);
    const Micros last = now_ + std::min<Micros>(longest, 3'000'000) + 400'000;
    ++n.orders;
    n.drain.shut_down(now_, last, now_ + std::max<Micros>(600'000, (last - now_) / 2));
    look_at_drain(d);
}

void World::drain(std::size_t d, Micros within) {
    Node& n = nodes_[d];
    if (!n.up) return;
    // One that leaves for good takes no order.
    if (!n.drain.request(now_, now_ + within, n.drain.ticket(), "operator").accepted) return;
    const std::uint64_t order = ++n.orders;
    look_at_drain(d);
    if (day_.goals.drained_in_time)
        at_for(d, now_ + within + 1, [this, d, order] {
            if (const std::size_t left = unanswered(d); nodes_[d].orders == order && left > 0)
                missed_.push_back("d-" + std::to_string(d + 1) + " still had " + std::to_string(left) +
                                  " tasks after its deadline");
        });
}

void World::undrain(std::size_t d) {
    Node& n = nodes_[d];
    if (!n.up) return;
    ++n.orders;
    n.drain.cancel(now_, n.drain.ticket(), "operator");
    look_at_drain(d);
}

void World::hold(std::size_t r, bool held) {
    for (std::size_t d = 0; d < nodes_.size(); ++d) {
        Node& n = nodes_[d];
        n.held[r] = held;
        if (!n.up) continue;
        const EndpointEntry entry = entry_for(d, theatre_.registry.held(r));
        n.open[r] = entry.state == RunnerState::ready;
        if (held) n.idle[r].clear();
        judge_.told(now_, d, r, entry.state, entry.started_at);
        note(d, MembershipUpdate{UpdateScope::delta, n.version, {entry}});
    }
}

// ---- clients
// -----------------------------------------------------------------------------------------------

void World::next_call() {
    std::optional<Call> call_next;
    if (day_.clients.arrivals == Arrivals::closed) {
        if (now_ < day_.length) call_next = callers_.draw(now_);
    } else {
        call_next = callers_.next();
    }
    if (!call_next) return;
    at(call_next->at, [this, wanted = *call_next] {
        const std::size_t o = origins_.size();
        Origin& origin = origins_.emplace_back();
        origin.call = wanted;
        origin.deadline = now_ + day_.workloads[wanted.workload].expiry;
        call(o);
        if (day_.clients.arrivals != Arrivals::closed) next_call();
    });
}

void World::call(std::size_t o) {
    Origin& origin = origins_[o];
    if (origin.over) return;
    if (now_ >= origin.deadline - 10'000) return done_with(o, origin.tries > 0 ? Fate::bounced : Fate::lost);
    std::size_t d = turn_++ % nodes_.size();
    for (std::size_t n = 0; n < nodes_.size() && (!nodes_[d].up || !nodes_[d].healthy); ++n)
        d = (d + 1) % nodes_.size();
    if (!nodes_[d].up || !nodes_[d].healthy) return at(now_ + 50'000, [this, o] { call(o); });
    Node& node = nodes_[d];
    ++origin.tries;
    tally_.tried();
    origin.dispatcher = d;
    origin.request = ++requests_;
    const std::uint64_t request = origin.request;
    const TaskId id{++node.tasks_taken};
    const Passage way = theatre_.paths.between("clients", theatre_.place_of_dispatcher(d), kBytesOfATask);
    if (way.cut) {
        // It never gets there; the client waits for a connect that does not come up.
        --origin.tries;
        return at(now_ + day_.clients.connect_limit, [this, o] { call(o); });
    }
    judge_.handed_in(now_ + way.takes, {request, origin.call.workload, d, origin.deadline});
    at(now_ + way.takes, [this, d, id, o, request, life = node.life] {
        Node& n = nodes_[d];
        Origin& who = origins_[o];
        if (who.over || who.request != request) return;
        if (!n.up || n.life != life) {
            judge_.died(now_, d);
            return at(now_ + day_.clients.retry_after, [this, o] { call(o); });
        }
        if (n.turns_away) {
            // Bounced before it is taken.
            judge_.answered(now_ + day_.path_delay, request, Final::bounced);
            return at(now_ + day_.path_delay, [this, o, request] {
                back_to_client(o, request, Final::bounced, day_.dispatchers.longest_away);
            });
        }
        Task task;
        task.request = request, task.origin = o, task.expiry = who.deadline;
        n.tasks.emplace(id, std::move(task));
        TaskArrived arrived;
        arrived.task = id;
        arrived.workload = WorkloadId(static_cast<std::uint32_t>(who.call.workload));
        arrived.customer = CustomerId(static_cast<std::uint32_t>(who.call.customer));
        arrived.key = who.call.key;
        arrived.expiry = who.deadline;
        arrived.slots = day_.workloads[who.call.workload].slots;
        arrived.memory = day_.workloads[who.call.workload].memory;
        if (day_.workloads[who.call.workload].hinted)
            arrived.cost_hint = who.call.work, arrived.hint_valid = true;
        arrived.client_retry = day_.clients.marks && who.tries > 1;
        note(d, arrived);
        if (who.call.leaves_after > 0 && who.tries == 1)
            at_for(d, now_ + who.call.leaves_after, [this, d, id, o, request] {
                const auto found = nodes_[d].tasks.find(id);
                if (origins_[o].request != request || found == nodes_[d].tasks.end() ||
                    found->second.answered)
                    return;
                judge_.left(now_, request);
                found->second.answered = true;
                note(d, ClientDisconnected{id});
                forget_if_over(d, id);
                done_with(o, Fate::left);
            });
    });
    at(origin.deadline + day_.rules.slack, [this, o, request] {
        if (!origins_[o].over && origins_[o].request == request) done_with(o, Fate::lost);
    });
}

void World::answer(std::size_t d, TaskId id, Final how, Micros stay_away) {
    const auto found = nodes_[d].tasks.find(id);
    if (found == nodes_[d].tasks.end() || found->second.answered) return;
    found->second.answered = true;
    const std::size_t o = found->second.origin;
    const std::uint64_t request = found->second.request;
    const Passage way = theatre_.paths.between("clients", theatre_.place_of_dispatcher(d), kBytesOfATask);
    if (!way.cut)
        at(now_ + way.takes, [this, o, request, how, stay_away] {
            judge_.answered(now_, request, how, how == Final::finished ? request : 0);
            back_to_client(o, request, how, stay_away);
        });
    // With the last one a drain is done.
    if (nodes_[d].drain.phase() != drain::Phase::serving) at_for(d, now_, [this, d] { look_at_drain(d); });
    // A finished one is still in the hands of end_leg.
    if (how != Final::finished) forget_if_over(d, id);
}

void World::forget_if_over(std::size_t d, TaskId id) {
    const auto found = nodes_[d].tasks.find(id);
    if (found != nodes_[d].tasks.end() && found->second.answered && found->second.out == 0)
        nodes_[d].tasks.erase(found);
}

bool World::may_retry(const Origin& o, Final how) const {
    if (o.tries >= day_.clients.tries) return false;
    const WorkloadPlan& w = day_.workloads[o.call.workload];
    return how == Final::bounced || w.effect == Effects::idempotent ||
           (w.effect == Effects::fingerprinted && w.group == Group::all);
}

void World::back_to_client(std::size_t o, std::uint64_t request, Final how, Micros stay_away) {
    Origin& origin = origins_[o];
    if (origin.over || origin.request != request) return;
    if (how == Final::finished) {
        const Micros took = now_ - origin.call.at;
        return done_with(o, took <= day_.workloads[origin.call.workload].due ? Fate::in_time : Fate::late);
    }
    const Micros wait = std::max(stay_away, day_.clients.retry_after);
    if (may_retry(origin, how) && now_ + wait < origin.deadline - 20'000) {
        origin.request = 0;
        at(now_ + wait + static_cast<Micros>(chance_.uniform() * static_cast<double>(wait) / 10),
           [this, o] { call(o); });
        return;
    }
    done_with(o, how == Final::bounced ? Fate::bounced : Fate::abandoned);
}

void World::done_with(std::size_t o, Fate fate) {
    Origin& origin = origins_[o];
    if (std::exchange(origin.over, true)) return;
    tally_.ended(origin.call.at, origin.call.workload, fate, now_ - origin.call.at);
    if (day_.clients.arrivals == Arrivals::closed && now_ < day_.length) next_call();
}

Result play_virtual(const Day& day, std::uint64_t seed, const std::string& policy,
                    const std::function<bool(Micros now)>& stop) {
    World world(day, seed, [&](std::size_t, const SettingsMap& orders, std::uint64_t own_seed, Truth truth) {
        return make_policy(policy, day, orders, own_seed, std::move(truth));
    });
    const auto began = std::chrono::steady_clock::now();
    Result result = world.play(stop);
    result.policy = policy;
    result.wall_s = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
    return result;
}

}  // namespace gannethold::rehearsal
