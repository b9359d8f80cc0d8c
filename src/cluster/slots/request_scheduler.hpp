#pragma once

#include <cstdint>
#include <string>

#include "cluster/base/mechanisms.hpp"
#include "cluster/base/bounded_history.hpp"
#include "cluster/slots/function.hpp"
#include "cluster/slots/priority_inversion.hpp"
#include "cluster/slots/proxy_outbox.hpp"
#include "cluster/slots/proxy_sessions.hpp"
#include "cluster/slots/runner_notifier.hpp"
#include "cluster/slots/runner_table.hpp"
#include "cluster/slots/session.hpp"
#include "cluster/slots/wait_queue.hpp"
#include "cluster/slots/work_durations.hpp"
#include "cluster/wire/messages.hpp"
#include "types.hpp"

namespace gannethold::cluster {

// Grants slots to requests, adds them to the wait queue of their function, or denies them.
class RequestScheduler {
  public:
    struct Options {
        // One of this many freed slots goes to a request that can no longer meet its latency target, if there
        // is one, so that late requests are served however many urgent requests arrive.
        int late_turn_interval = 4;
    };
    // REQUIRES: the arguments outlive this object.
    RequestScheduler(const Options& options, RunnerTable& runners, ProxySessions& proxies,
                     RunnerNotifier& notifier, const WorkDurations& durations)
        : options_(options),
          runners_(runners),
          proxies_(proxies),
          notifier_(notifier),
          durations_(durations) {}

    // REQUIRES: the session is open.
    void admit(Micros now, Session session, const AcquireRequest& request, Function& function,
               ProxyOutbox& out);
    // Returns false if the session has no such waiting request.
    bool cancel_waiting(Session session, std::uint32_t request_id);
    // Grants the function's free slots to waiting requests.
    void serve_waiting(Micros now, Function& function, ProxyOutbox& out);
    // Denies waiting requests that cannot be served within their deadline any more, and late requests whose
    // turn would come after it.
    void deny_unservable(Micros now, Function& function, ProxyOutbox& out);

    const BoundedHistory<PriorityInversion>& priority_inversions() const { return priority_inversions_; }

  private:
    static constexpr std::size_t kMaxInversions = 256;

    void grant(Micros now, RunnerSlots& runner, Session session, const AcquireRequest& request,
               WaitReason wait_reason, ProxyOutbox& out);
    void deny_waiting(Function& function, const WaitQueue::Entry& entry, std::uint32_t retry_ms,
                      ProxyOutbox& out);
    void record_inversion(Micros now, Function& function, const WaitQueue::Waiting& served, bool late_turn);
    bool is_late_turn(const Function& function) const {
        return !is_off(Mechanism::late_turns) &&
               function.grants_since_late_turn + 1 >= options_.late_turn_interval;
    }

    Options options_;
    RunnerTable& runners_;
    ProxySessions& proxies_;
    RunnerNotifier& notifier_;
    const WorkDurations& durations_;
    BoundedHistory<PriorityInversion> priority_inversions_{kMaxInversions};
};

}  // namespace gannethold::cluster
