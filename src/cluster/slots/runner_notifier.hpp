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
    // Both outlive this object.
    RunnerNotifier(const RunnerTable& runners, ProxySessions& proxies)
        : runners_(runners), proxies_(proxies) {}

    void notify(RunnerSlots& runner, Session session, ProxyOutbox& out) { send(runner, session, false, out); }
    // All open sessions that know the runner or use its function.
    void notify_all(RunnerSlots& runner, ProxyOutbox& out);
    // A runner refuses connections until it has started, and the platform's list shows that late: one proxy,
    // of those that will use it, tries until it can connect. Nothing happens if the runner is not starting or
    // has a prober.
    void assign_prober(RunnerSlots& runner, ProxyOutbox& out);

  private:
    void send(RunnerSlots& runner, Session session, bool probe, ProxyOutbox& out);

    const RunnerTable& runners_;
    ProxySessions& proxies_;
};

}  // namespace gannethold::cluster
