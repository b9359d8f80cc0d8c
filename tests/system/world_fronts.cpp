// Fronts: their sessions with the coordinator and their requests at runners.
#include <algorithm>

#include "world_parts.hpp"

namespace gannethold::cluster::played {

void World::to_coordinator(std::size_t f, const Message& message) {
    Front& front = *fronts_[f];
    digest_message(f, front.session, message);
    if (!front.core) return;
    const std::size_t core = *front.core;
    const Number life = front.core_life, term = front.term;
    const Session session = front.session;
    at(now_ + shape_.delay,
       [this, f, core, life, term, session, message] { take(f, core, life, term, session, message); });
}

void World::take(std::size_t f, std::size_t core, Number life, Number term, Session session,
                 const Message& message) {
    Core& c = *cores_[core];
    if (!c.up || c.life != life || !c.coordinator || c.coordinator->term != term || fronts_[f]->off) return;
    if (now_ < c.stalled_until || !c.consensus || !c.consensus->has_lease(now_)) {
        // Held by the connection until it wakes, and by the coordinator until the lease is back.
        at(std::max(now_, c.stalled_until) + 2'000,
           [=, this] { take(f, core, life, term, session, message); });
        return;
    }
    ProxyOutbox mail;
    SlotTable& slot_table = c.coordinator->slot_table;
    if (const auto* m = std::get_if<AcquireRequest>(&message)) {
        Function* const fn = slot_table.on_acquire_request(now_, session, *m, mail);
        if (fn && !fn->waiting.empty()) {
            c.coordinator->planner.plan_for_waiting(now_, slot_table, *fn, mail);
            const PlatformRequests requests = c.coordinator->planner.take_due_requests(now_);
            for (const StartRunner& b : requests.starts) begin(core, life, b, term);
        }
    }
    if (const auto* m = std::get_if<Release>(&message)) slot_table.on_release(now_, session, *m, mail);
    if (const auto* m = std::get_if<RunnerReachable>(&message))
        slot_table.on_runner_reachable(now_, session, *m, mail);
    if (const auto* m = std::get_if<LoadReport>(&message)) slot_table.on_load_report(now_, session, *m);
    if (const auto* m = std::get_if<OutstandingReport>(&message))
        slot_table.on_outstanding_report(now_, session, *m);
    post(core, mail);
}

void World::tick_front(std::size_t f) {
    Front& front = *fronts_[f];
    const Number life = front.life;
    if (front.up) {
        Actions d;
        const Core* const c = front.core ? cores_[*front.core].get() : nullptr;
        if (c && (!c->up || c->life != front.core_life || !c->coordinator ||
                  c->coordinator->term != front.term || front.off)) {
            if (!front.off || now_ > front.heard + kReach) {
                if (c->up && c->coordinator && c->coordinator->term == front.term &&
                    c->life == front.core_life) {
                    ProxyOutbox mail;
                    cores_[*front.core]->coordinator->slot_table.on_proxy_disconnected(now_, front.session,
                                                                                       mail);
                    cores_[*front.core]->coordinator->fronts.erase(f);
                    post(*front.core, mail);
                }
                front.core.reset();
                front.handler->on_coordinator_disconnected(now_, d);
            }
        }
        if (!front.core && !front.off) {
            Core& next = *cores_[front.next_core++ % cores_.size()];
            if (next.up && next.coordinator && now_ >= next.stalled_until) {
                front.core = (front.next_core - 1) % cores_.size();
                front.core_life = next.life, front.term = next.coordinator->term;
                front.session = ++session_;
                front.heard = front.next = now_;
                next.coordinator->fronts.insert(f);
                ProxyOutbox mail;
                const auto rank = static_cast<std::uint32_t>(
                    std::distance(next.coordinator->fronts.begin(), next.coordinator->fronts.find(f)));
                mail.send(front.session,
                          Registered{front.term, rank, static_cast<std::uint32_t>(fronts_.size()), {}});
                next.coordinator->slot_table.on_proxy_registered(now_, front.session,
                                                                 front.handler->make_registration(), mail);
                if (next.consensus && next.consensus->committed_entry() &&
                    (next.consensus->has_lease(now_) ||
                     shape_.sabotage == Sabotage::configure_without_lease) &&
                    next.consensus->committed_entry()->version > front.handler->version())
                    leaf::try_handle_all(
                        [&]() -> leaf::result<void> {
                            BOOST_LEAF_AUTO(configuration,
                                            Configuration::read(next.consensus->committed_entry()->body));
                            front.handler->configure(configuration);
                            front.best_version = std::max(front.best_version, front.handler->version());
                            return {};
                        },
                        [] {});
                post(*front.core, mail);
                front.handler->on_coordinator_registered(now_, d);
            }
        }
        if (!front.shutdown.begun() && front.handler->configuration()) front.accepts = true;
        front.handler->tick(now_, d);
        actions(f, d);
        for (auto w = front.watches.begin(); w != front.watches.end();) {
            const auto r = std::find_if(runners_.begin(), runners_.end(), [&](const auto& one) {
                return one.second->address == w->first && !one.second->ended;
            });
            if (r == runners_.end() || now_ < r->second->ready_at) {
                ++w;
                continue;
            }
            Actions more;
            front.handler->on_probe_completed(w->first, true, more);
            w = front.watches.erase(w);
            actions(f, more);
        }
        if (front.shutdown.begun()) shut_down_step(f);
    }
    at(now_ + 20'000, [this, f, life] {
        if (fronts_[f]->life == life) tick_front(f);
    });
}

void World::actions(std::size_t f, Actions& d) {
    Front& front = *fronts_[f];
    digest_actions(f, d);
    for (const Message& m : d.messages) to_coordinator(f, m);
    for (const auto& reply : d.local_replies) {
        Try& t = tries_[reply.request];
        if (t.answered) breach("answered twice");
        t.answered = true;
        const ErrorResponse a = error_response(reply.error);
        ++statuses[a.status];
        ++refused_of[t.service];
        if (a.guarantees_not_run)
            refusal_worst_of[t.service] = std::max(refusal_worst_of[t.service], now_ - t.came);
        if (a.guarantees_not_run) t.promised = true;
        if (a.guarantees_not_run && t.runs > 0) breach("refused as not run, and it has run");
    }
    for (const RequestId id : d.relayed_responses) {
        Try& t = tries_[id];
        if (t.answered) breach("answered twice");
        t.answered = true;
        ++statuses[200];
        if (now_ > t.came + t.latency_target) ++late, ++late_of[t.service];
        ++answered_of[t.service];
        worst_of[t.service] = std::max(worst_of[t.service], now_ - t.came);
    }
    // A runner drops what is broken off.
    for (const RequestId id : d.cancelled_attempts)
        at(now_ + hop(), [this, id] {
            const std::string key = std::exchange(tries_[id].at, {});
            if (const auto r = runners_.find(key); !key.empty() && r != runners_.end()) --r->second->busy;
        });
    for (const std::string& a : d.probed_addresses) front.watches[a] = now_;
    for (const auto& fw : d.forwards) {
        const RequestId id = fw.request;
        const std::string want = fw.runner, address = fw.address;
        const Number life = front.life;
        const auto end = [this, f, id, life](AttemptResult how) {
            if (shape_.sabotage == Sabotage::repeat_after_silence && how == AttemptResult::outcome_unknown)
                how = AttemptResult::not_sent;
            at(now_ + hop(), [this, f, id, life, how] {
                Front& front = *fronts_[f];
                if (!front.up || front.life != life) return;
                Actions more;
                front.handler->on_attempt_completed(now_, id, how, more);
                actions(f, more);
            });
        };
        at(now_ + hop(), [this, id, want, address, end] {
            const auto r = std::find_if(runners_.begin(), runners_.end(), [&](const auto& one) {
                return one.second->address == address && !one.second->ended;
            });
            if (r == runners_.end() || now_ < r->second->ready_at) return end(AttemptResult::connect_failed);
            Runner& runner = *r->second;
            if (runner.id != want) return end(AttemptResult::misdirected);
            if (runner.busy >= runner.slots) {
                ++rejected;
                return end(AttemptResult::rejected);
            }
            Try& t = tries_[id];
            ++runner.busy;
            ++ran;
            if (++t.runs > 1 && !t.idempotent) breach("ran twice");
            if (t.promised) breach("refused as not run, and it runs later");
            const bool lost = chance(answers_lost_);
            t.at = runner.id;
            at(now_ + t.work_ms * 1000LL, [this, id, key = runner.id, end, lost] {
                const auto at = runners_.find(key);
                Try& t = tries_[id];
                if (at == runners_.end() || t.at != key) return;
                t.at.clear();
                --at->second->busy;
                end(lost || (at->second->ended && workers_down_.count(at->second->worker))
                        ? AttemptResult::outcome_unknown
                        : AttemptResult::succeeded);
            });
        });
    }
}

void World::end_front(std::size_t f, Micros grace) {
    Front& front = *fronts_[f];
    front.shutdown.begin(now_, grace);
    if (shape_.sabotage == Sabotage::end_without_answers) return;
    Actions d;
    front.handler->begin_shutdown(now_, front.shutdown.answer_by(), d);
    actions(f, d);
}

void World::shut_down_step(std::size_t f) {
    Front& front = *fronts_[f];
    for (;;) {
        switch (front.shutdown.step(now_, unanswered(f).size())) {
            case Shutdown::Step::none:
                return;
            case Shutdown::Step::close_idle:
                front.accepts = false;
                break;
            case Shutdown::Step::answer_open: {
                if (shape_.sabotage == Sabotage::end_without_answers) break;
                Actions d;
                front.handler->answer_all_pending(now_, d);
                actions(f, d);
                break;
            }
            case Shutdown::Step::stop:
                return stop_front(f);
        }
    }
}

void World::stop_front(std::size_t f) {
    for (const RequestId id : unanswered(f))
        breach("front-" + std::to_string(f) + " ended, and request " + std::to_string(id) + " has no answer");
    kill_front(f);
}

std::vector<RequestId> World::unanswered(std::size_t f) const {
    std::vector<RequestId> ids;
    for (const auto& [id, t] : tries_)
        if (t.front == f && t.front_life == fronts_[f]->life && !t.answered) ids.push_back(id);
    return ids;
}

void World::cut_front(std::size_t f, bool off) { fronts_[f]->off = off; }
void World::delay_front(std::size_t f, Micros span) {
    fronts_[f]->next = std::max(fronts_[f]->next, now_) + span;
}

void World::kill_front(std::size_t f) {
    Front& front = *fronts_[f];
    if (front.core && cores_[*front.core]->coordinator &&
        cores_[*front.core]->coordinator->term == front.term) {
        ProxyOutbox mail;
        cores_[*front.core]->coordinator->slot_table.on_proxy_disconnected(now_, front.session, mail);
        cores_[*front.core]->coordinator->fronts.erase(f);
        post(*front.core, mail);
    }
    ++front.life;
    front.core.reset();
    front.best_version = 0;
    front.watches.clear();
    front.shutdown = {};
    front.handler = std::make_unique<RequestHandler>(
        RequestHandler::Options{front.name, front.zone, front.life + 1, shape_.seed + f + front.life * 100});
    at(now_ + 500'000, [this, f] { tick_front(f); });
}

}  // namespace gannethold::cluster::played
