// Collects the messages that a step of the coordinator sends to proxies. The caller of the step delivers
// them; messages to one session are delivered in order.
#pragma once

#include <cstddef>
#include <utility>
#include <vector>

#include "cluster/slots/session.hpp"
#include "cluster/wire/messages.hpp"

namespace gannethold::cluster {

// A message and the session that receives it.
struct ProxyMessage {
    Session to = 0;
    Message message;
};

// Messages in the order in which they were sent.
class ProxyOutbox {
  public:
    void send(Session to, Message message) { messages_.push_back({to, std::move(message)}); }
    // Called after the messages have been delivered.
    void clear() { messages_.clear(); }

    bool empty() const { return messages_.empty(); }
    std::size_t size() const { return messages_.size(); }
    const ProxyMessage& front() const { return messages_.front(); }
    std::vector<ProxyMessage>::const_iterator begin() const { return messages_.begin(); }
    std::vector<ProxyMessage>::const_iterator end() const { return messages_.end(); }

  private:
    std::vector<ProxyMessage> messages_;
};

}  // namespace gannethold::cluster
