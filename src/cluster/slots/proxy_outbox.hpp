// Collects the messages that a step of the coordinator sends to proxies. Whoever called the step delivers
// them, those to one session in their order.
#pragma once

#include <cstddef>
#include <utility>
#include <vector>

#include "cluster/slots/session.hpp"
#include "cluster/wire/messages.hpp"

namespace gannethold::cluster {

struct ProxyMessage {
    Session to = 0;
    Message message;
};

class ProxyOutbox {
  public:
    void send(Session to, Message message) { messages_.push_back({to, std::move(message)}); }
    // Forgets what was collected, once it has been delivered.
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
