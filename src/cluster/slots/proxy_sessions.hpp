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

// One proxy's session and where it has left state in other tables, so that its end costs what it used and not
// all that there is. The records may name what is there no more, and twice; they are compacted when full.
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

class ProxySessions {
  public:
    ProxySession& open(Session session, const std::string& name, const std::string& zone);
    // The session as it was; nullopt: there is none.
    std::optional<ProxySession> close(Session session);
    ProxySession* find(Session session);
    const ProxySession* find(Session session) const;
    bool contains(Session session) const { return sessions_.contains(session); }
    bool empty() const { return sessions_.empty(); }
    std::size_t size() const { return sessions_.size(); }
    const std::map<Session, ProxySession>& all() const { return sessions_; }

    // The session has left state there. Nothing happens if it is not open.
    void record_function(Session session, Function& function);
    void record_runner(Session session, std::uint32_t number, const RunnerTable& runners);

  private:
    std::map<Session, ProxySession> sessions_;
};

}  // namespace gannethold::cluster
