#include "links.hpp"

#include <algorithm>

namespace gannethold::cluster::played {
namespace {

constexpr std::size_t kTurn = 4 * 1460;  // bytes of one connection before another has its turn
constexpr double kBitsPerByte = 8;
constexpr double kMicrosPerSecond = 1e6;

}  // namespace

Links::Links(double bits_per_second, Timer timer)
    : bits_per_second_(bits_per_second), timer_(std::move(timer)) {}

void Links::send(Machine from, Machine to, std::size_t bytes, std::function<void()> departed) {
    if (!limited()) return departed();
    Queue& queue = queues_[{from, to}];
    queue.waiting.push_back({bytes, std::move(departed)});
    queue.bytes += bytes;
    serve(from);
}

bool Links::ready(const Connection& connection) const {
    const auto queue = queues_.find(connection);
    return queue != queues_.end() && !queue->second.waiting.empty() && blocked_.count(connection) == 0;
}

// The next connection in turn whose queue is not empty.
void Links::serve(Machine from) {
    Uplink& uplink = uplinks_[from];
    if (uplink.busy) return;
    std::vector<Machine> turns;
    for (const auto& [connection, queue] : queues_)
        if (connection.first == from && ready(connection)) turns.push_back(connection.second);
    if (turns.empty()) return;
    const auto after = std::upper_bound(turns.begin(), turns.end(), uplink.served);
    const Machine to = after == turns.end() ? turns.front() : *after;
    const Connection connection{from, to};
    const Queue& queue = queues_[connection];
    const std::size_t bytes = std::min(kTurn, queue.waiting.front().bytes);
    const double span = static_cast<double>(bytes) * kBitsPerByte / bits_per_second_ * kMicrosPerSecond;
    uplink.busy = true;
    uplink.served = to;
    timer_(static_cast<Micros>(span) + 1, [this, connection, generation = queue.generation, bytes] {
        transmitted(connection, generation, bytes);
    });
}

void Links::transmitted(Connection connection, std::uint64_t generation, std::size_t bytes) {
    uplinks_[connection.first].busy = false;
    Queue& queue = queues_[connection];
    std::function<void()> departed;
    if (queue.generation == generation) {
        Waiting& head = queue.waiting.front();
        head.bytes -= bytes;
        queue.bytes -= bytes;
        if (head.bytes == 0) {
            departed = std::move(head.departed);
            queue.waiting.pop_front();
        }
    }
    serve(connection.first);
    if (departed) departed();
}

void Links::reset(Machine from, Machine to) {
    Queue& queue = queues_[{from, to}];
    ++queue.generation;
    queue.bytes = 0;
    queue.waiting.clear();
}

void Links::reset_all(Machine machine) {
    std::vector<Connection> connections;
    for (const auto& [connection, queue] : queues_)
        if (connection.first == machine || connection.second == machine) connections.push_back(connection);
    for (const Connection& connection : connections) reset(connection.first, connection.second);
}

std::uint64_t Links::generation(Machine from, Machine to) const {
    const auto queue = queues_.find({from, to});
    return queue == queues_.end() ? 0 : queue->second.generation;
}

void Links::block(Machine from, Machine to) { blocked_.insert({from, to}); }

void Links::unblock_all() {
    blocked_.clear();
    std::set<Machine> senders;
    for (const auto& [connection, queue] : queues_) senders.insert(connection.first);
    for (const Machine sender : senders) serve(sender);
}

std::size_t Links::queued(Machine from, Machine to) const {
    const auto queue = queues_.find({from, to});
    return queue == queues_.end() ? 0 : queue->second.bytes;
}

}  // namespace gannethold::cluster::played
