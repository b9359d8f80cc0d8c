#include "cluster/slots/wait_queue.hpp"

#include <vector>

namespace gannethold::cluster {

WaitQueue::Place WaitQueue::add(const Waiting& w) {
    const Place place = ++last_;
    all_.emplace(place, w);
    in_aim_.emplace(in_aim(w), place);
    late_at_.emplace(w.target_at - w.work, place);
    ends_.emplace(end_of(w), place);
    work_ += static_cast<double>(w.work);
    return place;
}

void WaitQueue::leave(Place place) {
    const auto at = all_.find(place);
    if (at == all_.end()) return;
    const Waiting& w = at->second;
    in_aim_.erase({in_aim(w), place});
    late_at_.erase({w.target_at - w.work, place});
    late_.erase({w.since, place});
    ends_.erase({end_of(w), place});
    work_ -= static_cast<double>(w.work);
    all_.erase(at);
    if (all_.empty()) work_ = 0;  // no error of sums grows over days
}

void WaitQueue::on_proxy_disconnected(Session front) {
    std::vector<Place> left;
    for (const auto& [place, w] : all_)
        if (w.front == front) left.push_back(place);
    for (const Place place : left) leave(place);
}

void WaitQueue::grow_late(Micros now) {
    while (!late_at_.empty() && late_at_.begin()->first < now) {
        const Place place = late_at_.begin()->second;
        const Waiting& w = all_.at(place);
        late_at_.erase(late_at_.begin());
        in_aim_.erase({in_aim(w), place});
        late_.emplace(w.since, place);
    }
}

const WaitQueue::Waiting* WaitQueue::first(Micros now, bool turn, Place& place) {
    grow_late(now);
    if (all_.empty()) return nullptr;
    const bool from_late = !late_.empty() && (turn || in_aim_.empty());
    place = from_late ? late_.begin()->second : in_aim_.begin()->second;
    return &all_.at(place);
}

const WaitQueue::Waiting* WaitQueue::hopeless(Micros now, Place& place) const {
    if (ends_.empty() || now <= ends_.begin()->first) return nullptr;
    place = ends_.begin()->second;
    return &all_.at(place);
}

const WaitQueue::Waiting* WaitQueue::out_of_reach(Micros now, double per_place, Place& place) {
    grow_late(now);
    if (late_.empty()) return nullptr;
    const Waiting& last = all_.at(late_.rbegin()->second);
    if (static_cast<double>(now) + per_place * static_cast<double>(late_.size()) <=
        static_cast<double>(end_of(last)))
        return nullptr;
    place = late_.rbegin()->second;
    return &last;
}

}  // namespace gannethold::cluster
