// The operator, the clients and the platform's workers.
#include <algorithm>
#include <sstream>

#include "world_parts.hpp"

namespace gannethold::cluster::played {

std::string World::body(Number version, const std::string& mark) const {
    std::ostringstream text;
    text << "{\"version\":" << version << ",\"routes\":[";
    for (std::size_t i = 0; i < services.size(); ++i) {
        const Made& m = services[i];
        text << (i ? "," : "") << "{\"name\":\"r-" << m.name
             << "\",\"host\":\"h.example\",\"path_prefix\":\"/" << m.name << "/\",\"route_kind\":\""
             << (m.idempotent ? "idempotent" : "non_idempotent") << "\",\"timeout_ms\":" << m.timeout_ms
             << ",\"target_latency_ms\":" << m.latency_target_ms << ",\"priority\":" << m.priority
             << ",\"service\":\"" << (m.of.empty() ? m.name : m.of) << "\",\"max_attempts\":" << m.attempts
             << "}";
    }
    text << "],\"services\":[";
    bool any = false;
    for (std::size_t i = 0; i < services.size(); ++i) {
        const Made& m = services[i];
        if (!m.of.empty()) continue;
        text << (std::exchange(any, true) ? "," : "") << "{\"name\":\"" << m.name
             << "\",\"connection_limit\":20,\"memory_mb\":" << m.memory_mb
             << ",\"boot_duration_ms\":" << m.boot_ms << ",\"max_concurrency\":" << m.slots << "}";
    }
    text << "],\"mark\":\"" << mark << "\",\"ballast\":\"" << ballast << "\"}";
    return text.str();
}

void World::request(std::size_t f, const std::string& service, int work_ms, int deadline_ms) {
    Front& front = *fronts_[f];
    if (!front.up) return;
    if (!front.accepts) {
        ++unconnected;
        return;
    }
    const RequestId id = ++request_;
    Try& t = tries_[id];
    t.front_life = front.life;
    t.front = f, t.service = service, t.work_ms = work_ms, t.came = now_;
    for (const Made& m : services)
        if (m.name == service) t.idempotent = m.idempotent, t.latency_target = m.latency_target_ms * 1000LL;
    Actions d;
    front.handler->on_request(now_, id, "h.example", "/" + service + "/x",
                              static_cast<std::uint32_t>(deadline_ms), d);
    actions(f, d);
}

void World::crash_worker(const std::string& worker) {
    workers_down_.insert(worker);
    for (auto& [id, r] : runners_)
        if (r->worker == worker && !r->ended) r->ended = true, r->ended_at = now_ + 2'000'000;
    at(now_ + 4'000'000, [this, worker] { workers_down_.erase(worker); });
}

void World::drain_worker(const std::string& worker) {
    workers_draining_.insert(worker);
    for (auto& [id, r] : runners_)
        if (r->worker == worker && !r->ended) {
            r->draining = true;
            if (now_ < r->ready_at) {  // what was still to start there never comes up
                r->ended = true;
                r->ended_at = now_;
                continue;
            }
            at(now_ + 4'000'000,
               [this, id = id] { runners_[id]->ended = true, runners_[id]->ended_at = now_; });
        }
}

void World::reuse_address(const std::string& service) {
    for (auto& [id, r] : runners_) {
        if (r->service != service || r->ended) continue;
        r->ended = true, r->ended_at = now_;
        auto other = std::make_unique<Runner>(*r);
        other->id = "other-" + id, other->service = "non_member", other->ended = false;
        runners_[other->id] = std::move(other);
        return;
    }
}

}  // namespace gannethold::cluster::played
