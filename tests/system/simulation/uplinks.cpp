#include "uplinks.hpp"

#include <algorithm>

namespace gannethold::cluster::simulation {
namespace {

constexpr std::size_t kBytesPerTurn = std::size_t{4} * 1460;  // of one connection, before the next is served
constexpr double kBitsPerByte = 8;

}  // namespace

Uplinks::Uplinks(double bits_per_second, EventQueue& events)
    : bits_per_second_(bits_per_second), events_(events) {}

void Uplinks::send(Machine from, Machine to, std::size_t bytes, EventQueue::Action on_departed) {
    if (!is_limited()) {
        on_departed();
        return;
    }
    Queue& queue = queues_[{from, to}];
    queue.messages.push_back({bytes, std::move(on_departed)});
    queue.bytes += bytes;
    serve(from);
}

bool Uplinks::is_ready(const Connection& connection) const {
    const auto queue = queues_.find(connection);
    return queue != queues_.end() && !queue->second.messages.empty() && !blocked_.contains(connection);
}

void Uplinks::serve(Machine from) {
    Uplink& uplink = uplinks_[from];
    if (uplink.busy) return;
    std::vector<Machine> ready;
    for (const auto& [connection, queue] : queues_)
        if (connection.first == from && is_ready(connection)) ready.push_back(connection.second);
    if (ready.empty()) return;
    const auto after = std::upper_bound(ready.begin(), ready.end(), uplink.last_served);
    const Machine to = after == ready.end() ? ready.front() : *after;
    const Connection connection{from, to};
    const Queue& queue = queues_[connection];
    const std::size_t bytes = std::min(kBytesPerTurn, queue.messages.front().bytes);
    const double span =
        static_cast<double>(bytes) * kBitsPerByte / bits_per_second_ * static_cast<double>(kMicrosPerSecond);
    uplink.busy = true;
    uplink.last_served = to;
    events_.after(static_cast<Micros>(span) + 1, [this, connection, generation = queue.generation, bytes] {
        on_transmitted(connection, generation, bytes);
    });
}

void Uplinks::on_transmitted(Connection connection, std::uint64_t generation, std::size_t bytes) {
    uplinks_[connection.first].busy = false;
    Queue& queue = queues_[connection];
    EventQueue::Action on_departed;
    if (queue.generation == generation) {
        QueuedMessage& head = queue.messages.front();
        head.bytes -= bytes;
        queue.bytes -= bytes;
        if (head.bytes == 0) {
            on_departed = std::move(head.on_departed);
            queue.messages.pop_front();
        }
    }
    serve(connection.first);
    if (on_departed) on_departed();
}

void Uplinks::reset(Machine from, Machine to) {
    Queue& queue = queues_[{from, to}];
    ++queue.generation;
    queue.bytes = 0;
    queue.messages.clear();
}

void Uplinks::reset_all(Machine machine) {
    std::vector<Connection> connections;
    for (const auto& [connection, queue] : queues_)
        if (connection.first == machine || connection.second == machine) connections.push_back(connection);
    for (const Connection& connection : connections) reset(connection.first, connection.second);
}

std::uint64_t Uplinks::generation(Machine from, Machine to) const {
    const auto queue = queues_.find({from, to});
    return queue == queues_.end() ? 0 : queue->second.generation;
}

void Uplinks::block(Machine from, Machine to) { blocked_.insert({from, to}); }

void Uplinks::unblock_all() {
    blocked_.clear();
    std::set<Machine> senders;
    for (const auto& [connection, queue] : queues_) senders.insert(connection.first);
    for (const Machine sender : senders) serve(sender);
}

std::size_t Uplinks::queued_bytes(Machine from, Machine to) const {
    const auto queue = queues_.find({from, to});
    return queue == queues_.end() ? 0 : queue->second.bytes;
}

}  // namespace gannethold::cluster::simulation
