// The requests of all proxies that wait for slots of one function, in the order of slots/urgency.hpp. Each
// operation on one request takes logarithmic time, because the queue is longest when the coordinator is most
// loaded.
//
// Times are in microseconds of the coordinator's steady clock. Performs no I/O and reads no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "cluster/base/mechanisms.hpp"
#include "cluster/slots/session.hpp"
#include "cluster/slots/urgency.hpp"
#include "cluster/wire/messages.hpp"

namespace gannethold::cluster {

// Requests in the order in which they are to be served.
class WaitQueue {
  public:
    // A waiting request.
    struct Waiting {
        Session session = 0;
        AcquireRequest request;
        Micros since = 0;
        Micros target_at = 0;
        Micros deadline_at = 0;
        Micros work = 0;  // expected duration; the request is late after target_at - work
        WaitReason wait_reason = WaitReason::none;
    };
    // Identifies a request in this queue; tickets increase in the order of arrival.
    using Ticket = std::uint64_t;
    struct Entry {
        Ticket ticket = 0;
        const Waiting* waiting = nullptr;  // never null; valid until the entry is removed
    };

    Ticket add(const Waiting& waiting);
    // Does nothing if the ticket is not in the queue.
    void remove(Ticket ticket);
    void on_proxy_disconnected(Session session);

    // Returns the request to serve next; nullopt if the queue is empty. late_turn: late requests are served
    // before those on target.
    std::optional<Entry> next(Micros now, bool late_turn);
    // As of the last call of next() or last_unservable(). REQUIRES: the ticket is in the queue.
    bool is_late(Ticket ticket) const { return late_.contains({all_.at(ticket).since, ticket}); }
    // The first and the last arrival; nullptr if the queue is empty.
    const Waiting* oldest() const { return all_.empty() ? nullptr : &all_.begin()->second; }
    const Waiting* newest() const { return all_.empty() ? nullptr : &all_.rbegin()->second; }
    // Returns a request that can no longer be completed within its deadline; nullopt if there is none.
    std::optional<Entry> expired(Micros now) const;
    // Returns the last late request if its turn would come too late for its deadline, given that one late
    // request is served every turn_interval_us; nullopt otherwise, or if no request is late.
    std::optional<Entry> last_unservable(Micros now, double turn_interval_us);
    bool has_on_target() const { return !on_target_.empty(); }

    bool empty() const { return all_.empty(); }
    std::size_t size() const { return all_.size(); }
    // The sum of the expected durations of all requests.
    double total_work_us() const { return total_work_us_; }
    // In the order of arrival.
    const std::map<Ticket, Waiting>& all() const { return all_; }

  private:
    using TimedTicket = std::pair<Micros, Ticket>;

    // Moves requests that have become late from on_target_ to late_.
    void update_late(Micros now);
    static Micros latest_start(const Waiting& waiting) { return waiting.deadline_at - waiting.work; }
    static Micros late_at(const Waiting& waiting) { return waiting.target_at - waiting.work; }
    static UrgencyKey on_target_key(const Waiting& waiting) {
        if (is_off(Mechanism::urgency_order)) return {false, waiting.since, waiting.since};
        return urgency_key({waiting.since, waiting.target_at, waiting.request.priority, false}, false);
    }

    std::map<Ticket, Waiting> all_;
    // Each request is either in on_target_ and becoming_late_ or in late_; all requests are in
    // by_latest_start_.
    std::set<std::pair<UrgencyKey, Ticket>> on_target_;
    std::set<TimedTicket> becoming_late_;    // by late_at()
    std::set<TimedTicket> late_;             // by arrival
    std::set<TimedTicket> by_latest_start_;  // by latest_start()
    double total_work_us_ = 0;
    Ticket last_ticket_ = 0;
};

}  // namespace gannethold::cluster
