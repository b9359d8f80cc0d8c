// The coordinator at the leading core, and what it asks of the platform.
#include <algorithm>

#include "world_parts.hpp"

namespace gannethold::cluster::played {

void World::look(Core& core) {
    if (!core.up || !core.consensus || now_ < core.stalled_until) return;
    const bool leads = core.consensus->has_lease(now_);
    if (leads) {
        const auto i = static_cast<std::size_t>(
            std::find_if(cores_.begin(), cores_.end(), [&](const auto& c) { return c.get() == &core; }) -
            cores_.begin());
        const auto [known, fresh] = term_leader_.emplace(core.consensus->current_term(), i);
        if (!fresh && known->second != i)
            breach("two leaders in term " + std::to_string(core.consensus->current_term()));
        if (leaders() > 1) breach("two act as leader at once: " + told());
    }
    if (core.coordinator && (!core.consensus->is_established_leader() ||
                             core.coordinator->term != core.consensus->current_term()))
        close_coordinator(core);
    if (leads && !core.coordinator && !fronts_.empty()) {
        SlotTable::Options b;
        b.retry_budget = 20;
        Planner::Options p;
        p.nonce_prefix = core.name + "-" + std::to_string(core.consensus->current_term()) + "-";
        p.requests_per_s = 100;
        p.takeover_delay = core.consensus->current_term() <= 1 ? 200'000 : 1'500'000;
        for (const char* z : {"z0", "z1", "z2"}) p.region_of[z] = "r";
        core.coordinator = std::make_unique<Core::Coordinator>(core.consensus->current_term(), b, p, now_);
    }
    if (leads && core.coordinator && core.consensus->committed_entry() &&
        core.consensus->committed_entry()->version > core.coordinator->version) {
        core.coordinator->version = core.consensus->committed_entry()->version;
        leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_AUTO(c, Configuration::read(core.consensus->committed_entry()->body));
                core.coordinator->slot_table.configure(c);
                for (const std::size_t f : core.coordinator->fronts) {
                    const Number version = core.coordinator->version;
                    at(now_ + hop(), [this, f, c, version] {
                        Front& front = *fronts_[f];
                        if (!front.up || front.off) return;
                        if (front.handler->version() > 0 && c->version() < front.best_version &&
                            front.handler->version() < front.best_version)
                            breach("a front went back");
                        front.handler->configure(c);
                        front.best_version = std::max(front.best_version, version);
                        if (front.handler->version() < front.best_version) breach("a front went back");
                    });
                }
                return {};
            },
            [&] { breach("a committed configuration can not be read"); });
    }
}

void World::close_coordinator(Core& core) {
    if (!core.coordinator) return;
    core.coordinator.reset();
}

void World::coordinator_step(Core& core) {
    const std::size_t i = static_cast<std::size_t>(
        std::find_if(cores_.begin(), cores_.end(), [&](const auto& c) { return c.get() == &core; }) -
        cores_.begin());
    Core::Coordinator& k = *core.coordinator;
    k.next = now_ + SlotTable::kSampleInterval;
    ProxyOutbox mail;
    // The platform's lists, as it shows them late.
    std::vector<Worker> workers;
    for (std::size_t w = 0; w < shape_.workers; ++w) {
        const std::string name = "w-" + std::to_string(w);
        if (!workers_down_.count(name))
            workers.push_back(
                {name, "z" + std::to_string(w % 3), shape_.worker_mb, 0, !workers_draining_.count(name)});
    }
    k.planner.update_workers(workers);
    k.planner.cancel_lost_starts(now_, k.slot_table, mail);
    if (k.list_poller.take_due_request(now_)) {
        RunnerListPage page;
        for (const auto& [id, r] : runners_)
            if (now_ >= r->listed_at && (!r->ended || now_ < r->ended_seen()))
                page.runners.push_back(
                    {{id, r->service, r->address, r->zone, r->worker, r->slots, 0, true}, r->draining});
        const RunnerListPoller::Update update = k.list_poller.on_page(now_, page);
        for (const ListedRunner& listed : page.runners)
            k.slot_table.on_runner_listed(now_, listed.info, listed.draining, mail);
        for (const std::string& id : update.removed) k.slot_table.on_runner_gone(now_, id, mail);
        k.planner.on_list_complete(now_);
    }
    k.slot_table.tick(now_, mail);
    // What was granted by this coordinator itself, never more than there are slots.
    for (const auto& [number, r] : k.slot_table.runners()) {
        std::set<std::pair<Session, std::uint32_t>> granted;
        for (const RunnerSlots::Grant& g : r.grants)
            if (g.request_id > 0 && !granted.insert({g.session, g.request_id}).second)
                breach("one ask has two slots of " + r.info.runner);
        if (granted.size() > r.info.slots) breach("more granted than " + r.info.runner + " has slots");
    }
    // Nobody goes before one that came earlier but by having less time left, or where that one can not be in
    // aim, or as a late one in its turn.
    const auto& priority_inversions = k.slot_table.priority_inversions();
    const std::size_t fresh =
        std::min(priority_inversions.all() - k.priority_inversions, priority_inversions.kept().size());
    k.priority_inversions = priority_inversions.all();
    for (std::size_t n = priority_inversions.kept().size() - fresh; n < priority_inversions.kept().size();
         ++n) {
        const PriorityInversion& o = priority_inversions.kept()[n];
        const bool urgent = o.time_left + o.priority * kPriorityStep <=
                            o.passed_time_left + o.passed_priority * kPriorityStep;
        const bool past = std::string(o.why) != PriorityInversion::kLessTimeLeft;
        if (!past && !urgent) breach("one with more time left went first in " + o.service);
        if (std::string(o.why) == PriorityInversion::kPassedIsLate && o.time_left <= 0)
            breach("one that is late itself went before a late one in " + o.service);
    }
    overtaken += fresh;
    k.planner.plan_all(now_, k.slot_table, mail);
    const PlatformRequests requests = k.planner.take_due_requests(now_);
    post(i, mail);
    for (const StartRunner& b : requests.starts) begin(i, core.life, b, k.term);
    for (const StopRunner& s : requests.stops) {
        digest_output(std::uint64_t{i}, std::string_view(s.runner));
        ++stops;
        const Number life = core.life, term = k.term;
        at(now_ + hop(), [this, s, i, life, term] {
            const auto at = runners_.find(s.runner);
            if (at != runners_.end() && !at->second->ended)
                at->second->ended = true, at->second->ended_at = now_;
            if (chance(platform_answers_lost_)) return;
            Core& c = *cores_[i];
            if (c.life != life || !c.coordinator || c.coordinator->term != term) return;
            c.coordinator->planner.on_stop_result(s.runner, true);
            ProxyOutbox mail;
            c.coordinator->slot_table.on_runner_gone(now_, s.runner, mail);
            post(i, mail);
        });
    }
}

void World::begin(std::size_t core, Number life, const StartRunner& b, Number fence) {
    digest_output(std::uint64_t{core}, fence, std::string_view(b.service), std::string_view(b.worker),
                  std::string_view(b.nonce));
    at(now_ + hop(), [this, core, life, b, fence] {
        StartResult answer = StartResult::started;
        RunnerInfo begun;
        if (fence < fence_ || (fence == fence_ && fence_holder_ != cores_[core]->name)) {
            ++fence_refused;
            answer = StartResult::rejected;
        } else {
            if (fence > fence_) fence_ = fence, fence_holder_ = cores_[core]->name;
            const std::string key = b.service + "/" + b.nonce;
            std::string& id = nonces_[key];
            if (id.empty()) {
                std::int64_t used = 0;
                const auto made = std::find_if(services.begin(), services.end(),
                                               [&](const Made& m) { return m.name == b.service; });
                for (const auto& [other, r] : runners_)
                    if (!r->ended && r->worker == b.worker)
                        for (const Made& m : services)
                            if (m.name == r->service) used += m.memory_mb;
                if (made == services.end() || workers_down_.count(b.worker) ||
                    workers_draining_.count(b.worker) || used + made->memory_mb > shape_.worker_mb) {
                    nonces_.erase(key);
                    answer = StartResult::no_capacity;
                } else {
                    ++starts;
                    id = "i-" + std::to_string(++made_);
                    auto r = std::make_unique<Runner>();
                    r->id = id, r->service = b.service, r->worker = b.worker,
                    r->zone = "z" + std::to_string(std::stoul(b.worker.substr(2)) % 3);
                    r->address = "10.9.0." + std::to_string(made_) + ":1";
                    r->slots = made->slots;
                    r->ready_at = now_ + made->boot_ms * 1000LL;
                    r->listed_at = r->ready_at + kListLag;
                    runners_[id] = std::move(r);
                }
            }
            if (answer == StartResult::started) {
                const Runner& r = *runners_[nonces_[key]];
                begun = {r.id, r.service, r.address, r.zone, r.worker, r.slots, 0, false};
            }
        }
        const bool lost = chance(platform_answers_lost_);
        if (lost) answer = StartResult::timed_out;
        at(now_ + (lost ? kCallLimit : hop()), [this, core, life, b, answer, begun] {
            Core& c = *cores_[core];
            if (c.life != life || !c.coordinator || !c.consensus || !c.consensus->has_lease(now_)) return;
            ProxyOutbox mail;
            if (answer == StartResult::started)
                c.coordinator->slot_table.on_runner_started(now_, begun, mail);
            c.coordinator->planner.on_start_result(now_, b.nonce, answer);
            post(core, mail);
        });
    });
}

void World::post(std::size_t core, ProxyOutbox& mail) {
    for (const ProxyMessage& one : mail) digest_message(core, one.to, one.message);
    for (const ProxyMessage& one : mail)
        for (std::size_t f = 0; f < fronts_.size(); ++f) {
            Front& front = *fronts_[f];
            if (front.session != one.to || front.core != core) continue;
            const Session session = one.to;
            // One connection: in order.
            front.next = std::max(front.next, now_ + shape_.delay);
            at(front.next, [this, f, session, message = one.message] {
                Front& front = *fronts_[f];
                if (!front.up || front.off || front.session != session || !front.core) return;
                front.heard = now_;
                Actions d;
                front.handler->on_message(now_, message, d);
                actions(f, d);
            });
        }
    mail.clear();
}

}  // namespace gannethold::cluster::played
