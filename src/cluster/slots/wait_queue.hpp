// The requests of all fronts that wait for slots of one function, in the order of slots/urgency.hpp. Adding,
// taking and leaving cost the logarithm of its length: in an overload it is long, and whoever keeps it has a
// small part of a core.
//
// Times are of the coordinator's steady clock, in microseconds. No I/O and no clock.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <tuple>

#include "cluster/slots/urgency.hpp"
#include "cluster/wire/messages.hpp"

namespace gannethold::cluster {

using Session = std::uint64_t;  // one connection of one front

class WaitQueue {
  public:
    struct Waiting {
        Session front = 0;
        AcquireRequest ask;
        Micros since = 0, target_at = 0, deadline_at = 0;
        Micros work = 0;  // usual time of its request class: from aim_at less that on it counts as late
        WaitReason waits_for = WaitReason::none;
    };
    using Place = std::uint64_t;

    Place add(const Waiting& w);
    void leave(Place place);
    void on_proxy_disconnected(Session front);

    // Who goes first; nullptr: nobody waits. turn: whether one that is late has its turn; it has none if
    // nobody is late.
    const Waiting* first(Micros now, bool turn, Place& place);
    bool is_late(Place place) const { return late_.contains({all_.at(place).since, place}); }
    // Who came first of all; nullptr: nobody waits.
    const Waiting* oldest() const { return all_.empty() ? nullptr : &all_.begin()->second; }
    const Waiting* newest() const { return all_.empty() ? nullptr : &all_.rbegin()->second; }
    // One that would hardly end within its deadline any more; nullptr: none.
    const Waiting* hopeless(Micros now, Place& place) const;

    // The last of those who are late, if at per_place microseconds for each before it its turn would come too
    // late; nullptr: it would not, or nobody is late.
    const Waiting* out_of_reach(Micros now, double per_place, Place& place);
    bool any_in_aim() const { return !in_aim_.empty(); }

    bool empty() const { return all_.empty(); }
    std::size_t size() const { return all_.size(); }
    double work() const { return work_; }  // of all together, microseconds
    // In the order in which they came.
    const std::map<Place, Waiting>& all() const { return all_; }

  private:
    void grow_late(Micros now);
    static Micros end_of(const Waiting& w) { return w.deadline_at - w.work; }
    static std::tuple<bool, Micros, Micros> in_aim(const Waiting& w) {
        return place_in_line({w.since, w.target_at, w.ask.priority, false}, false);
    }

    std::map<Place, Waiting> all_;
    std::set<std::pair<std::tuple<bool, Micros, Micros>, Place>> in_aim_;
    std::set<std::pair<Micros, Place>> late_at_, late_,
        ends_;  // when it becomes late, of those in aim; by since; by end
    double work_ = 0;
    Place last_ = 0;
};

}  // namespace gannethold::cluster
