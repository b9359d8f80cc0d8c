#include "cluster/proxy/request_handler.hpp"

#include <algorithm>
#include <functional>

#include "cluster/slots/urgency.hpp"

namespace gannethold::cluster {
namespace {

constexpr std::uint32_t kSoon = 150;      // ms, where a slot is likely to come free
constexpr std::uint32_t kElsewhere = 50;  // ms, where another front takes the request
constexpr Micros kMargin = 15'000;        // for an answer on its way to the client

}  // namespace

double RequestHandler::unit() {
    chance_ ^= chance_ << 13;
    chance_ ^= chance_ >> 7;
    chance_ ^= chance_ << 17;
    return static_cast<double>(chance_ >> 11) * 0x1.0p-53;
}

void RequestHandler::configure(std::shared_ptr<const Configuration> configuration) {
    if (!configuration || (configuration_ && configuration->version() <= configuration_->version())) return;
    configuration_ = std::move(configuration);
}

// ---- requests
// ------------------------------------------------------------------------------------------------

void RequestHandler::arrived(Micros now, RequestId id, std::string_view host, std::string_view path,
                             std::uint32_t deadline_ms, Actions& out) {
    Request& r = requests_[id];
    r.configuration = configuration_;
    if (!configuration_) return give_up(now, id, r, ErrorCode::not_offered, 500, out);
    r.route = configuration_->route(host, path);
    if (!r.route) return give_up(now, id, r, ErrorCode::no_route, 0, out);
    r.came = now;
    r.target_at = now + r.route->latency_target;
    r.deadline_at = now + std::min<Micros>(deadline_ms * 1000LL, r.route->timeout);
    double sum = 0;
    for (const auto& share : r.route->shares) sum += share.weight;
    double at = unit() * sum;
    r.service = r.route->shares.front().service;
    for (const auto& share : r.route->shares) {
        if (share.weight <= 0) continue;
        r.service = share.service;
        if ((at -= share.weight) < 0) break;
    }
    Split& split = functions_[r.service].split;
    split.arrived();
    split.advance(now, static_cast<std::uint64_t>(unit() * 1e9));
    deadlines_.emplace(r.deadline_at - kMargin, id);
    seek(now, id, r, out);
}

// Asks for a slot, or takes one of the own part.
void RequestHandler::seek(Micros now, RequestId id, Request& r, Actions& out) {
    r.runner.clear();
    r.by_slot = r.unrestricted = false;
    if (!fits_before_end(now, r)) return give_up(now, id, r, ErrorCode::leaving, kElsewhere, out);
    if (!coordinator_) {
        r.state = State::held;
        return serve_alone(now, std::string(r.service), out);
    }
    Coordinator& coordinator = functions_[r.service];
    // The design's draw; near ones first, since what crosses zones is paid for and slower.
    const auto fits = [&](bool near) {
        return [this, near, now](const Split::Share& s) {
            const auto at = runners_.find(s.runner);
            return at != runners_.end() && at->second.state == RunnerState::ready && at->second.number > 0 &&
                   s.out < s.slots && now >= at->second.aside_until &&
                   (!near || at->second.what.zone == options_.zone);
        };
    };
    const double at = unit();
    const Split::Share* drawn = coordinator.split.draw(at, fits(true));
    if (!drawn) drawn = coordinator.split.draw(at, fits(false));
    if (coordinator.unrestricted && drawn && !r.again) {
        r.unrestricted = true;
        note(now, id, r, drawn->runner, "drawn_unasked");
        return send(now, id, r, runners_[drawn->runner], out);
    }
    r.state = State::asking;
    r.ask = ++last_ask_ ? last_ask_ : ++last_ask_;
    r.asked_at = now;
    asks_[r.ask] = id;
    r.drawn_number = drawn ? runners_[drawn->runner].number : 0;
    const auto left = [now](Micros until) {
        return static_cast<std::uint32_t>(std::max<Micros>(0, until - now) / 1000);
    };
    out.mails.push_back(AcquireRequest{r.ask, drawn ? runners_[drawn->runner].number : 0, r.service,
                                       left(r.target_at), left(r.deadline_at), r.route->priority,
                                       r.route->shape, r.again});
}

// So much of a runner's slots is this front's while nobody keeps them for all: the parts of all fronts add up
// to them.
std::uint32_t RequestHandler::part(const Runner& runner) const {
    const std::uint32_t n = std::max(1U, proxies_);
    const auto shift = static_cast<std::uint32_t>(std::hash<std::string>()(runner.what.runner) % n);
    return (runner.what.slots + n - 1 - (rank_ + shift) % n) / n;
}

// In the coordinator's order, as far as this front's own requests go: one that comes does not take the slot
// for which a more urgent one waits here.
void RequestHandler::serve_alone(Micros now, const std::string& service, Actions& out) {
    Coordinator& coordinator = functions_[service];
    std::vector<RequestId> held;
    for (const auto& [id, r] : requests_)
        if (r.state == State::held && r.service == service) held.push_back(id);
    while (!held.empty()) {
        const auto late = [&](RequestId id) { return now > requests_.at(id).target_at; };
        const bool turn =
            coordinator.turns + 1 >= options_.late_turn && std::any_of(held.begin(), held.end(), late);
        const auto place = [&](RequestId id) {
            const Request& r = requests_.at(id);
            return std::pair(urgency_key({r.came, r.target_at, r.route->priority, late(id)}, turn), id);
        };
        const auto first = std::min_element(held.begin(), held.end(),
                                            [&](RequestId a, RequestId b) { return place(a) < place(b); });
        const bool was_late = late(*first);
        if (!send_alone(now, *first, requests_.at(*first), out)) return;
        coordinator.turns = was_late ? 0 : coordinator.turns + 1;
        held.erase(first);
    }
}

bool RequestHandler::send_alone(Micros now, RequestId id, Request& r, Actions& out) {
    // A second runner is drawn from the common budget, which cannot be asked.
    if (r.again) {
        r.slowed = ValueLoss::Cause::coordinator;
        give_up(now, id, r, ErrorCode::no_slot, kSoon, out);
        return true;
    }
    Coordinator& coordinator = functions_[r.service];
    const auto fits = [&](bool near) {
        return [this, near, now, &coordinator](const Split::Share& s) {
            const auto at = runners_.find(s.runner);
            if (at == runners_.end() || at->second.state != RunnerState::ready ||
                now < at->second.aside_until)
                return false;
            return at->second.out < (coordinator.unrestricted ? at->second.what.slots : part(at->second)) &&
                   (!near || at->second.what.zone == options_.zone);
        };
    };
    const double at = unit();
    const Split::Share* drawn = coordinator.split.draw(at, fits(true));
    if (!drawn) drawn = coordinator.split.draw(at, fits(false));
    if (!drawn) {
        r.slowed = ValueLoss::Cause::coordinator;
        return false;
    }
    r.unrestricted = coordinator.unrestricted;
    note(now, id, r, drawn->runner, "drawn_without_keeper");
    send(now, id, r, runners_[drawn->runner], out);
    return true;
}

void RequestHandler::send(Micros now, RequestId id, Request& r, Runner& runner, Actions& out) {
    r.state = State::out;
    r.runner = runner.what.runner;
    r.sent_at = now;
    ++r.sends;
    ++runner.out;
    functions_[r.service].split.sent(r.runner);
    out.forwards.push_back({id, r.runner, runner.what.address,
                            static_cast<std::uint32_t>(std::max<Micros>(1000, r.deadline_at - now) / 1000)});
}

void RequestHandler::note(Micros now, RequestId id, const Request& r, const std::string& runner,
                          const char* why) {
    decisions_.add({now, r.came > 0 ? now - r.came : 0, id, r.service, runner, why});
}

std::vector<RequestHandler::Share> RequestHandler::shares() const {
    std::vector<Share> all;
    for (const auto& [service, coordinator] : functions_)
        for (const Split::Share& s : coordinator.split.shares())
            all.push_back({service, s.runner, s.fraction, s.latency, s.out, coordinator.unrestricted});
    return all;
}

void RequestHandler::release(Micros now, Request& r, ReleaseReason how, Actions& out) {
    const auto runner = runners_.find(r.runner);
    Coordinator& coordinator = functions_[r.service];
    const Micros took = now - r.sent_at;
    std::uint32_t number = 0;
    if (runner != runners_.end()) {
        if (runner->second.out > 0) --runner->second.out;
        number = runner->second.number;
    }
    if (r.unrestricted) {
        ++coordinator.count;
        coordinator.busy += took;
    }
    // Of what was sent unasked only what went wrong is told, or what the coordinator counts meanwhile.
    const bool tell =
        r.ask > 0 || (number > 0 && (!r.unrestricted || how == ReleaseReason::rejected ||
                                     how == ReleaseReason::unreachable || how == ReleaseReason::gone));
    if (coordinator_ && tell)
        out.mails.push_back(Release{r.ask, number, how, static_cast<std::uint32_t>(took / 1000)});
    asks_.erase(r.ask);
    r.ask = 0;
    r.by_slot = false;
}

void RequestHandler::set_mode(const FunctionMode& m, Actions& out) {
    Coordinator& coordinator = functions_[m.service];
    if (coordinator.unrestricted == m.unrestricted) return;
    coordinator.unrestricted = m.unrestricted;
    if (m.unrestricted) return;
    // What is out unasked is counted by the coordinator from here on, and released to it.
    std::map<std::uint32_t, std::uint32_t> outs;
    for (auto& [id, r] : requests_) {
        if (r.state != State::out || !r.unrestricted || r.service != m.service) continue;
        r.unrestricted = false;
        if (const auto runner = runners_.find(r.runner);
            runner != runners_.end() && runner->second.number > 0)
            ++outs[runner->second.number];
    }
    if (!outs.empty()) out.mails.push_back(OutstandingReport{{outs.begin(), outs.end()}});
}

void RequestHandler::report(Micros now, Actions& out) {
    if (now < reported_ + 1'000'000) return;
    LoadReport loads{static_cast<std::uint32_t>(std::min<Micros>(now - reported_, 10'000'000) / 1000), {}};
    reported_ = now;
    for (auto& [service, coordinator] : functions_) {
        if (coordinator.unrestricted && (coordinator.count > 0 || coordinator.busy > 0))
            loads.loads.push_back(
                {service, coordinator.count, static_cast<std::uint32_t>(coordinator.busy / 1000)});
        coordinator.last = {service, coordinator.count, static_cast<std::uint32_t>(coordinator.busy / 1000)};
        coordinator.count = 0;
        coordinator.busy = 0;
    }
    if (coordinator_ && !loads.loads.empty()) out.mails.push_back(std::move(loads));
}

void RequestHandler::give_up(Micros now, RequestId id, Request& r, ErrorCode kind, std::uint32_t retry_ms,
                             Actions& out) {
    if (r.may_have_run && error_response(kind).guarantees_not_run) {
        kind = ErrorCode::may_have_run;
        retry_ms = 0;
    }
    if (r.client) out.replies.push_back({id, kind, retry_ms});
    if (r.client && r.route)
        lost(now, r,
             kind == ErrorCode::may_have_run || kind == ErrorCode::time_over ? ValueLoss::How::failed
                                                                             : ValueLoss::How::refused);
    note(now, id, r, r.runner, error_response(kind).name);
    close(id);
}

const char* ValueLoss::name(Cause cause) {
    static constexpr std::array<const char*, kCauses> names{"cold_start",  "slot", "memory", "keeper_away",
                                                            "runner_lost", "work", "budget", "route"};
    return names[static_cast<std::size_t>(cause)];
}

const char* ValueLoss::name(How how) {
    static constexpr std::array<const char*, kHows> names{"late", "refused", "failed"};
    return names[static_cast<std::size_t>(how)];
}

void RequestHandler::lost(Micros now, const Request& r, ValueLoss::How how) {
    const ValueLoss loss{now, now - r.came, r.service, r.slowed, how};
    losses_.add(loss);
    ++loss_counts_[static_cast<std::size_t>(loss.cause)][static_cast<std::size_t>(how)];
    if (new_losses_.size() < kDecisions) new_losses_.push_back(loss);
}

void RequestHandler::close(RequestId id) {
    const auto at = requests_.find(id);
    if (at == requests_.end()) return;
    asks_.erase(at->second.ask);
    const auto range = deadlines_.equal_range(at->second.deadline_at - kMargin);
    for (auto d = range.first; d != range.second; ++d)
        if (d->second == id) {
            deadlines_.erase(d);
            break;
        }
    requests_.erase(at);
}

void RequestHandler::on_client_disconnected(Micros now, RequestId id, Actions& out) {
    const auto at = requests_.find(id);
    if (at == requests_.end()) return;
    Request& r = at->second;
    r.client = false;
    // What is at work ends by itself: a runner that is broken off has worked for nothing.
    if (r.state == State::out) return;
    if (r.state == State::asking && coordinator_)
        out.mails.push_back(Release{r.ask, 0, ReleaseReason::unused, 0});
    (void)now;
    close(id);
}

void RequestHandler::ended(Micros now, RequestId id, AttemptResult how, Actions& out) {
    const auto at = requests_.find(id);
    if (at == requests_.end() || at->second.state != State::out) return;
    const std::string service = at->second.service;
    finish(now, id, at->second, how, out);
    if (!coordinator_) serve_alone(now, service, out);  // the slot that came free
}

void RequestHandler::finish(Micros now, RequestId id, Request& r, AttemptResult how, Actions& out) {
    Split& split = functions_[r.service].split;
    const Micros took = now - r.sent_at;
    const double whole = static_cast<double>(r.route->timeout) / 1e6;
    const std::string runner = r.runner;
    switch (how) {
        case AttemptResult::answered:
            split.ended(runner, static_cast<double>(std::max<Micros>(took, 100)) / 1e6);
            release(now, r, ReleaseReason::answered, out);
            work_times_[kind_of(*r.route)].add(took);
            if (r.client) out.relays.push_back(id);
            if (r.client && now > r.target_at) lost(now, r, ValueLoss::How::late);
            return close(id);
        case AttemptResult::failed:
            split.ended(runner, whole);
            release(now, r, ReleaseReason::failed, out);
            break;
        case AttemptResult::not_run:
            split.ended(runner, whole);
            release(now, r, ReleaseReason::rejected, out);
            break;
        case AttemptResult::misdirected:
            split.ended(runner, 0);
            release(now, r, ReleaseReason::gone, out);
            drop_runner(runner, out);
            break;
        case AttemptResult::unreachable:
            split.ended(runner, 0);
            if (const auto known = runners_.find(runner); known != runners_.end())
                known->second.aside_until = now + 1'000'000;
            release(now, r, ReleaseReason::unreachable, out);
            --r.sends;  // nothing was sent
            break;
        case AttemptResult::unsent:
        case AttemptResult::may_have_run:
            split.ended(runner, whole);
            release(now, r, ReleaseReason::failed, out);
            break;
    }
    r.slowed = how == AttemptResult::not_run ? ValueLoss::Cause::slot : ValueLoss::Cause::runner;
    const bool ran = how == AttemptResult::failed || how == AttemptResult::may_have_run;
    r.may_have_run = r.may_have_run || ran;
    if (!r.client) return close(id);
    const bool may_again =
        (!ran || r.route->idempotent) && r.sends < r.route->attempts && now + 20'000 < r.deadline_at;
    if (may_again) {
        r.again = r.sends > 0;
        return seek(now, id, r, out);
    }
    // The runner's own failure is the client's to see; what has not run is said to be so.
    if (how == AttemptResult::failed) {
        out.relays.push_back(id);
        lost(now, r, ValueLoss::How::failed);
        return close(id);
    }
    give_up(now, id, r, ErrorCode::no_slot, kSoon, out);
}

// ---- the coordinator
// ----------------------------------------------------------------------------------------------

Register RequestHandler::registration() {
    Register g{options_.name, options_.zone, options_.incarnation, version(), {}, {}};
    for (auto& [id, r] : runners_) {
        r.registered = 0;
        if (r.state == RunnerState::gone && r.out == 0) continue;
        RunnerInfo h = r.what;
        const auto coordinator = functions_.find(h.service);
        const bool unrestricted = coordinator != functions_.end() && coordinator->second.unrestricted;
        h.out = unrestricted ? 0 : r.out;  // of what is sent unasked no end is told
        r.registered = h.out;
        h.up = r.state == RunnerState::ready;
        g.runners.push_back(std::move(h));
    }
    for (const auto& [service, coordinator] : functions_)
        if (coordinator.unrestricted)
            g.unrestricted.push_back({service, coordinator.last.count, coordinator.last.busy_ms});
    return g;
}

void RequestHandler::on_coordinator_registered(Micros now, Actions& out) {
    coordinator_ = true;
    asks_.clear();
    by_number_.clear();
    for (auto& [id, r] : runners_) r.number = 0;
    // What was free stays so until this coordinator says otherwise: it has been told with the registration.
    // All functions kept at once, after a change of coordinators, would be more asks than one coordinator can
    // answer.
    for (auto& [id, r] : requests_) {
        if (r.state == State::out) r.ask = 0;  // counted with the registration
        if (r.state == State::held || r.state == State::asking) seek(now, id, r, out);
    }
}

void RequestHandler::on_coordinator_disconnected(Micros now, Actions& out) {
    if (!coordinator_) return;
    coordinator_ = false;
    asks_.clear();
    std::set<std::string> services;
    for (auto& [id, r] : requests_)
        if (r.state == State::asking) {
            r.ask = 0;
            r.state = State::held;
            services.insert(r.service);
        }
    for (const std::string& service : services) serve_alone(now, service, out);
}

void RequestHandler::drop_runner(const std::string& runner, Actions& out) {
    const auto at = runners_.find(runner);
    if (at == runners_.end()) return;
    Coordinator& coordinator = functions_[at->second.what.service];
    coordinator.split.leave(runner);
    std::erase(coordinator.runners, runner);
    out.forgets.push_back(at->second.what.address);
    at->second.state = RunnerState::gone;
    if (at->second.out > 0) return;  // its last answers still release their slots
    by_number_.erase(at->second.number);
    runners_.erase(at);
}

// What ended between the registration and the coordinator's answer is released, and what was sent then is
// told: else a slot would be taken, or given twice, for as long as the session lasts.
void RequestHandler::correct_registration(Runner& runner, Actions& out) {
    const std::uint32_t registered = std::exchange(runner.registered, 0);
    if (functions_[runner.what.service].unrestricted) return;
    if (runner.out > registered)
        out.mails.push_back(OutstandingReport{{{runner.number, runner.out - registered}}});
    for (std::uint32_t ended = runner.out; ended < registered; ++ended)
        out.mails.push_back(Release{0, runner.number, ReleaseReason::unused, 0});
}

// One that is gone may still have requests out here, whose ends the coordinator counts under its number.
void RequestHandler::told_gone(const RunnerUpdate& m, Actions& out) {
    if (const auto held = runners_.find(m.runner.runner);
        held != runners_.end() && held->second.number == 0) {
        held->second.number = m.number;
        by_number_[m.number] = m.runner.runner;
        correct_registration(held->second, out);
    }
    if (const auto at = by_number_.find(m.number); at != by_number_.end())
        drop_runner(std::string(at->second), out);
}

void RequestHandler::told(const RunnerUpdate& m, Actions& out) {
    if (m.state == RunnerState::gone) return told_gone(m, out);
    Runner& r = runners_[m.runner.runner];
    const std::uint32_t mine = r.out;
    const bool fresh = r.what.runner.empty();
    r.what = m.runner;
    r.out = mine;
    const bool first = r.number == 0;  // in this session
    if (r.number != m.number) by_number_.erase(r.number);
    r.number = m.number;
    by_number_[m.number] = m.runner.runner;
    r.state = m.state;
    if (first) correct_registration(r, out);
    Coordinator& coordinator = functions_[m.runner.service];
    if (fresh) coordinator.runners.push_back(m.runner.runner);
    if (m.state == RunnerState::ready) coordinator.split.enter(m.runner.runner, m.runner.slots);
    if (m.watch && m.state == RunnerState::starting) {
        watched_[m.runner.address].push_back(m.runner.runner);
        out.watches.push_back(m.runner.address);
    }
}

void RequestHandler::reached(Micros, const std::string& address, bool up, Actions& out) {
    const auto at = watched_.find(address);
    if (at == watched_.end()) return;
    for (const std::string& runner : at->second) {
        const auto r = runners_.find(runner);
        if (r == runners_.end() || r->second.number == 0) continue;
        if (coordinator_) out.mails.push_back(RunnerReachable{r->second.number, up});
    }
    watched_.erase(at);
}

void RequestHandler::held_up(Request& r, WaitReason by) {
    if (by == WaitReason::start) r.slowed = ValueLoss::Cause::start;
    if (by == WaitReason::slot) r.slowed = ValueLoss::Cause::slot;
    if (by == WaitReason::memory) r.slowed = ValueLoss::Cause::memory;
}

void RequestHandler::said(Micros now, const Message& message, Actions& out) {
    if (const auto* m = std::get_if<Registered>(&message)) {
        rank_ = m->rank;
        proxies_ = std::max(1U, m->fronts);
    } else if (const auto* m = std::get_if<RunnerUpdate>(&message)) {
        told(*m, out);
    } else if (const auto* m = std::get_if<AcquireGranted>(&message)) {
        const auto ask = asks_.find(m->id);
        if (ask == asks_.end()) {
            // The client has left meanwhile, or its time is over.
            out.mails.push_back(Release{m->id, m->runner, ReleaseReason::unused, 0});
            return;
        }
        const RequestId id = ask->second;
        Request& r = requests_.at(id);
        const auto runner = by_number_.find(m->runner);
        const bool usable = runner != by_number_.end() && runners_[runner->second].state != RunnerState::gone;
        const bool ends_in_time = fits_before_end(now, r);
        if (!usable || !ends_in_time || now + 5'000 > r.deadline_at) {
            asks_.erase(ask);
            out.mails.push_back(Release{m->id, m->runner, ReleaseReason::unused, 0});
            r.ask = 0;
            if (!ends_in_time) return give_up(now, id, r, ErrorCode::leaving, kElsewhere, out);
            if (!usable && now + 20'000 < r.deadline_at) return seek(now, id, r, out);
            return give_up(now, id, r, ErrorCode::not_offered, 0, out);
        }
        r.by_slot = true;
        held_up(r, m->waited);
        note(now, id, r, runner->second,
             r.again                       ? "granted_again"
             : r.drawn_number == m->runner ? "granted_as_drawn"
             : r.drawn_number == 0         ? "granted_none_known"
                                           : "granted_another_drawn_is_full");
        send(now, id, r, runners_[runner->second], out);
    } else if (const auto* m = std::get_if<FunctionMode>(&message)) {
        set_mode(*m, out);
    } else if (const auto* m = std::get_if<AcquireDenied>(&message)) {
        const auto ask = asks_.find(m->id);
        if (ask == asks_.end()) return;
        const RequestId id = ask->second;
        Request& r = requests_.at(id);
        if (r.again && m->waited == WaitReason::nothing) r.slowed = ValueLoss::Cause::budget;
        held_up(r, m->waited);
        give_up(now, id, r, ErrorCode::no_slot, m->retry_ms, out);
    }
}

// ---- time
// ----------------------------------------------------------------------------------------------------

void RequestHandler::tick(Micros now, Actions& out) {
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        const RequestId id = deadlines_.begin()->second;
        Request& r = requests_.at(id);
        if (r.state == State::out) {
            break_off(now, id, r, ErrorCode::time_over, out);
        } else {
            withdraw_ask(r, out);
            give_up(now, id, r, ErrorCode::not_offered, 0, out);
        }
    }
    refuse_what_can_not_end(now, out);
    if (!coordinator_) {
        std::set<std::string> services;
        for (const auto& [id, r] : requests_)
            if (r.state == State::held) services.insert(r.service);
        for (const std::string& service : services) serve_alone(now, service, out);
    }
    report(now, out);
}

// ---- the end of this process ---------------------------------------------------------------------------

bool RequestHandler::fits_before_end(Micros now, const Request& r) const {
    if (answer_by_ == 0) return true;
    const auto known = work_times_.find(kind_of(*r.route));
    std::optional<Micros> work;
    if (known != work_times_.end()) work = known->second.usual_longest();
    // The operators mean the aim to be kept: without an observation it stands for the time of the work.
    return now + work.value_or(r.route->latency_target) <= answer_by_;
}

void RequestHandler::withdraw_ask(const Request& r, Actions& out) {
    if (r.state == State::asking && coordinator_)
        out.mails.push_back(Release{r.ask, 0, ReleaseReason::unused, 0});
}

void RequestHandler::break_off(Micros now, RequestId id, Request& r, ErrorCode kind, Actions& out) {
    functions_[r.service].split.ended(r.runner, static_cast<double>(r.route->timeout) / 1e6);
    release(now, r, ReleaseReason::failed, out);
    out.abandons.push_back(id);
    give_up(now, id, r, kind, 0, out);
}

void RequestHandler::begin_shutdown(Micros now, Micros answer_by, Actions& out) {
    answer_by_ = answer_by;
    refuse_what_can_not_end(now, out);
}

void RequestHandler::refuse_what_can_not_end(Micros now, Actions& out) {
    if (answer_by_ == 0) return;
    std::vector<RequestId> refused;
    for (const auto& [id, r] : requests_)
        if (r.state != State::out && !fits_before_end(now, r)) refused.push_back(id);
    for (const RequestId id : refused) {
        Request& r = requests_.at(id);
        withdraw_ask(r, out);
        give_up(now, id, r, ErrorCode::leaving, kElsewhere, out);
    }
}

void RequestHandler::answer_all(Micros now, Actions& out) {
    answer_by_ = now;
    refuse_what_can_not_end(now, out);
    std::vector<RequestId> sent;
    for (const auto& [id, r] : requests_) sent.push_back(id);
    for (const RequestId id : sent) break_off(now, id, requests_.at(id), ErrorCode::may_have_run, out);
}

}  // namespace gannethold::cluster
