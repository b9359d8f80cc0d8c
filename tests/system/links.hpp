// Connections between machines whose uplinks carry so many bits a second: one queue for each connection, one
// uplink for all queues of a machine, which it serves in turn, a few packets at a time. Bytes of one
// connection arrive in order. What waits at a cut connection waits on, as TCP would have it; a reset loses
// it.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "types.hpp"

namespace gannethold::cluster::played {

class Links {
  public:
    using Machine = std::size_t;
    // Calls that back after so long.
    using Timer = std::function<void(Micros delay, std::function<void()>)>;

    // No bandwidth, 0: every message leaves at once.
    Links(double bits_per_second, Timer timer);

    bool limited() const { return bits_per_second_ > 0; }
    // departed is called once the last byte has left the sender.
    void send(Machine from, Machine to, std::size_t bytes, std::function<void()> departed);
    // What waits from one to the other is lost, and so is what is under way: it carries the old generation.
    void reset(Machine from, Machine to);
    // The machine went: all of its connections are reset.
    void reset_all(Machine machine);
    std::uint64_t generation(Machine from, Machine to) const;
    void block(Machine from, Machine to);
    void unblock_all();
    // Bytes that wait from one to the other.
    std::size_t queued(Machine from, Machine to) const;

  private:
    using Connection = std::pair<Machine, Machine>;
    struct Waiting {
        std::size_t bytes = 0;
        std::function<void()> departed;
    };
    struct Queue {
        std::deque<Waiting> waiting;
        std::size_t bytes = 0;
        std::uint64_t generation = 0;
    };
    struct Uplink {
        bool busy = false;
        Machine served = 0;  // last
    };

    void serve(Machine from);
    void transmitted(Connection connection, std::uint64_t generation, std::size_t bytes);
    bool ready(const Connection& connection) const;

    double bits_per_second_;
    Timer timer_;
    std::map<Connection, Queue> queues_;
    std::map<Machine, Uplink> uplinks_;
    std::set<Connection> blocked_;
};

}  // namespace gannethold::cluster::played
