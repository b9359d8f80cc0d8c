// What tests can look at.
#include <algorithm>
#include <sstream>

#include "world_parts.hpp"

namespace gannethold::cluster::played {

std::size_t World::leaders() const {
    std::size_t n = 0;
    for (const auto& c : cores_)
        n += c->up && c->consensus && now_ >= c->stalled_until && c->consensus->has_lease(now_);
    return n;
}
std::optional<std::size_t> World::leader() const {
    for (std::size_t i = 0; i < cores_.size(); ++i)
        if (cores_[i]->up && cores_[i]->consensus && now_ >= cores_[i]->stalled_until &&
            cores_[i]->consensus->has_lease(now_))
            return i;
    return {};
}
Number World::committed() const {
    const auto l = leader();
    return l && cores_[*l]->consensus->committed_entry() ? cores_[*l]->consensus->committed_entry()->version
                                                         : 0;
}
std::size_t World::members() const {
    const auto l = leader();
    return l ? cores_[*l]->consensus->voters().size() : 0;
}
std::size_t World::learners() const {
    const auto at = leader();
    return at ? cores_[*at]->consensus->learners().size() : 0;
}
bool World::is_unrestricted(const std::string& service) const {
    const auto l = leader();
    if (!l || !cores_[*l]->coordinator) return false;
    const auto& all = cores_[*l]->coordinator->slot_table.functions();
    const auto f = all.find(service);
    return f != all.end() && f->second->unrestricted;
}

std::size_t World::runners(const std::string& service) const {
    std::size_t n = 0;
    for (const auto& [id, r] : runners_) n += r->service == service && !r->ended;
    return n;
}
std::string World::placed() const {
    std::map<std::string, int> by;
    for (const auto& [id, r] : runners_)
        if (!r->ended) ++by[r->zone];
    std::string text;
    for (const auto& [zone, n] : by) text += (text.empty() ? "" : " ") + zone + ":" + std::to_string(n);
    return text;
}
Number World::term() const {
    Number highest = 0;
    for (const auto& core : cores_)
        if (core->consensus) highest = std::max(highest, core->consensus->current_term());
    return highest;
}
Number World::held(std::size_t i) const { return cores_[i]->disk.entry.version; }
bool World::is_retired(std::size_t i) const { return cores_[i]->retired; }
bool World::voters_live() const {
    const auto at = leader();
    if (!at) return false;
    const auto& voters = cores_[*at]->consensus->voters();
    return std::all_of(voters.begin(), voters.end(), [&](const std::string& voter) {
        return std::any_of(cores_.begin(), cores_.end(),
                           [&](const auto& core) { return core->name == voter && !core->retired; });
    });
}
bool World::core_up(std::size_t i) const { return cores_[i]->up; }
bool World::core_recovering(std::size_t i) const {
    return !cores_[i]->consensus || cores_[i]->consensus->is_recovering();
}
std::string World::told() const {
    std::ostringstream text;
    for (const auto& c : cores_) {
        if (!c->consensus) {
            text << "[" << (c->up ? "no disk" : "down") << "] ";
            continue;
        }
        const PersistentState& d = c->consensus->persistent_state();
        text << "[term " << d.promise.term << " voted " << d.promise.voted_for << " no_vote_through_term "
             << d.promise.no_vote_through << " entry " << d.entry.position.term << "."
             << d.entry.position.index << " members " << d.entry.members.size()
             << (d.promise.member ? "" : " non_member") << " leader " << c->consensus->leader() << "] ";
    }
    return text.str();
}
Number World::front_version(std::size_t f) const { return fronts_[f]->handler->version(); }
std::size_t World::cores() const { return cores_.size(); }

}  // namespace gannethold::cluster::played
