#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "cluster/slots/function.hpp"
#include "cluster/slots/runner_table.hpp"
#include "cluster/slots/session.hpp"
#include "cluster/slots/wait_queue.hpp"

namespace gannethold::cluster {

// The session of one proxy, with records of the functions and runners that hold state of it, so that the cost
// of closing the session depends on what it used and not on the size of the tables. The records may contain
// duplicates and removed runners; they are compacted when full.
struct ProxySession {
    struct WaitingRequest {
        Function* function = nullptr;
        WaitQueue::Ticket ticket = 0;
    };

    std::string name;
    std::string zone;
    std::vector<Function*> functions;
    std::vector<std::uint32_t> runners;
    std::unordered_map<std::uint32_t, WaitingRequest> waiting;  // by request id
};

// The open sessions of all proxies.
class ProxySessions {
  public:
    ProxySession& open(Session session, const std::string& name, const std::string& zone);
    // Returns the state of the closed session; nullopt if it was not open.
    std::optional<ProxySession> close(Session session);
    ProxySession* find(Session session);
    const ProxySession* find(Session session) const;
    bool contains(Session session) const { return sessions_.contains(session); }
    bool empty() const { return sessions_.empty(); }
    std::size_t size() const { return sessions_.size(); }
    const std::map<Session, ProxySession>& all() const { return sessions_; }

    // Record that the function or the runner holds state of the session. Do nothing if it is not open.
    void record_function(Session session, Function& function);
    void record_runner(Session session, std::uint32_t number, const RunnerTable& runners);

  private:
    std::map<Session, ProxySession> sessions_;
};

}  // namespace gannethold::cluster
