// Connections between machines whose uplinks have a limited bandwidth. Each connection has its own queue; the
// uplink of a machine serves its queues round robin, a few packets at a time. The bytes of one connection
// arrive in order. What is queued at a blocked connection stays queued, as TCP would have it; a reset drops
// it.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "event_queue.hpp"

namespace gannethold::cluster::simulation {

class Uplinks {
  public:
    using Machine = std::size_t;
    /// bits_per_second of each machine's uplink; 0: unlimited, every message departs at once. The event queue
    /// must outlive this object.
    Uplinks(double bits_per_second, EventQueue& events);

    bool is_limited() const { return bits_per_second_ > 0; }
    /// Calls on_departed once the last byte has left the sender; never, if the connection is reset before.
    void send(Machine from, Machine to, std::size_t bytes, EventQueue::Action on_departed);
    /// Drops what is queued on this connection, and gives it a new generation.
    void reset(Machine from, Machine to);
    /// Resets every connection from and to this machine, as when its process is killed.
    void reset_all(Machine machine);
    /// Counts the resets of the connection: a message in flight is lost if the generation has changed since.
    std::uint64_t generation(Machine from, Machine to) const;
    /// Stops transmission on this connection until unblock_all().
    void block(Machine from, Machine to);
    void unblock_all();
    std::size_t queued_bytes(Machine from, Machine to) const;

  private:
    using Connection = std::pair<Machine, Machine>;
    struct QueuedMessage {
        std::size_t bytes = 0;  // not yet transmitted
        EventQueue::Action on_departed;
    };
    struct Queue {
        std::deque<QueuedMessage> messages;
        std::size_t bytes = 0;
        std::uint64_t generation = 0;
    };
    struct Uplink {
        bool busy = false;
        Machine last_served = 0;
    };

    // Transmits the next turn of the connection that is next in round-robin order, if any is ready.
    void serve(Machine from);
    void on_transmitted(Connection connection, std::uint64_t generation, std::size_t bytes);
    bool is_ready(const Connection& connection) const;

    double bits_per_second_;
    EventQueue& events_;
    std::map<Connection, Queue> queues_;
    std::map<Machine, Uplink> uplinks_;
    std::set<Connection> blocked_;
};

}  // namespace gannethold::cluster::simulation
