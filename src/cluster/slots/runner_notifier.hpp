#pragma once

#include "cluster/slots/proxy_outbox.hpp"
#include "cluster/slots/proxy_sessions.hpp"
#include "cluster/slots/runner_slots.hpp"
#include "cluster/slots/runner_table.hpp"
#include "cluster/slots/session.hpp"

namespace gannethold::cluster {

// Sends the state of runners to proxies.
class RunnerNotifier {
  public:
    // REQUIRES: both arguments outlive this object.
    RunnerNotifier(const RunnerTable& runners, ProxySessions& proxies)
        : runners_(runners), proxies_(proxies) {}

    void notify(RunnerSlots& runner, Session session, ProxyOutbox& out) { send(runner, session, false, out); }
    // Notifies all open sessions that have been notified of the runner before or use its function.
    void notify_all(RunnerSlots& runner, ProxyOutbox& out);
    // Assigns one of the proxies that will use the runner to probe it until a connection succeeds. A runner
    // refuses connections until it has started, and the platform's list shows the start with a delay. Does
    // nothing if the runner is not starting or has a prober.
    void assign_prober(RunnerSlots& runner, ProxyOutbox& out);

  private:
    void send(RunnerSlots& runner, Session session, bool probe, ProxyOutbox& out);

    const RunnerTable& runners_;
    ProxySessions& proxies_;
};

}  // namespace gannethold::cluster
