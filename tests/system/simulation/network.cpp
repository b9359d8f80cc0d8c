#include "network.hpp"

#include <algorithm>

#include "cluster/wire/codec.hpp"

namespace gannethold::cluster::simulation {
namespace {

constexpr std::size_t kMaxQueuedBytes = std::size_t{256} * 1024;  // to one member, before one more message

}  // namespace

std::string core_address(std::size_t core) { return "10.0.0." + std::to_string(core + 1) + ":80"; }

Network::Network(Environment& environment)
    : environment_(environment), uplinks_(environment.shape.bits_per_second, environment.events) {}

void Network::add_machine() {
    ++machines_;
    cut_off_since_.clear();
}

void Network::cut(std::size_t from, std::size_t to, bool one_way) {
    cuts_.insert({from, to});
    uplinks_.block(from, to);
    if (!one_way) {
        cuts_.insert({to, from});
        uplinks_.block(to, from);
    }
    update_cut_off();
}

void Network::heal() {
    cuts_.clear();
    cut_off_since_.clear();
    uplinks_.unblock_all();
}

void Network::reset_connection(std::size_t one, std::size_t other) {
    uplinks_.reset(one, other);
    uplinks_.reset(other, one);
}

void Network::reset_machine(std::size_t machine) {
    if (uplinks_.is_limited()) uplinks_.reset_all(machine);
}

void Network::send(std::size_t from, std::size_t to, const Message& message, EventQueue::Action on_arrived) {
    // A limited uplink keeps what a cut doesn't let through; an unlimited one loses it.
    const bool limited = uplinks_.is_limited();
    if (!limited && !is_open(from, to)) return;
    if (environment_.random.happens(environment_.shape.loss)) return;
    const std::size_t bytes = limited ? encode(message).size() : 0;
    const std::size_t queued = uplinks_.queued_bytes(from, to);
    max_queued_bytes_ = std::max(max_queued_bytes_, queued + bytes);
    if (queued > kMaxQueuedBytes)
        environment_.violations.report(std::to_string(queued) + " bytes are queued from " +
                                       core_address(from) + " to " + core_address(to));
    // What was sent arrives, whatever becomes of the sender.
    const std::uint64_t generation = uplinks_.generation(from, to);
    uplinks_.send(from, to, bytes, [this, from, to, generation, on_arrived = std::move(on_arrived)] {
        const bool limited = uplinks_.is_limited();
        const Micros min_delay = environment_.shape.delay;
        const Micros delay = limited ? min_delay : environment_.random.hop(min_delay);
        environment_.events.after(delay, [this, from, to, generation, on_arrived] {
            const bool lost = !uplinks_.is_limited() && !is_open(from, to);
            if (!lost && uplinks_.generation(from, to) == generation) on_arrived();
        });
    });
}

std::optional<Micros> Network::cut_off_since(std::size_t machine) const {
    const auto since = cut_off_since_.find(machine);
    return since == cut_off_since_.end() ? std::nullopt : std::optional(since->second);
}

void Network::update_cut_off() {
    for (std::size_t machine = 0; machine < machines_; ++machine) {
        bool reaches_one = false;
        for (std::size_t other = 0; other < machines_; ++other)
            reaches_one =
                reaches_one || (other != machine && is_open(machine, other) && is_open(other, machine));
        if (!reaches_one) cut_off_since_.emplace(machine, environment_.now());
    }
}

}  // namespace gannethold::cluster::simulation
