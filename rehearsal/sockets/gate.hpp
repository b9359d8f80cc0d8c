// A place where a stand-in listens, which can be shut (new connections are refused) or silent (they never
// come up), as a process that died or a machine that vanished would look from outside.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "net/listener.hpp"

namespace gannethold::rehearsal {

class Gate {
  public:
    enum class State { open, shut, silent };

    Gate(net::Loop& loop, const net::Address& at, std::function<void(evutil_socket_t)> accepted);
    ~Gate();
    Gate(const Gate&) = delete;
    Gate& operator=(const Gate&) = delete;

    void set(State state);  // throws std::runtime_error where the address cannot be listened on

  private:
    void fill();
    void empty();

    net::Loop& loop_;
    const net::Address at_;
    std::function<void(evutil_socket_t)> accepted_;
    State state_ = State::shut;
    std::unique_ptr<net::Listener> listener_;
    std::vector<int> plug_;
};

}  // namespace gannethold::rehearsal
