#include "cluster/proxy_server/coordinator_client.hpp"

#include <unistd.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace gannethold::cluster {
namespace {

constexpr Micros kConnectTimeout = 350'000;
constexpr Micros kRegistrationTimeout = 500'000;  // without any message before the registration is answered
constexpr Micros kPeerTimeout = 800'000;          // without any message in a session
constexpr Micros kHeartbeatInterval = 250'000;
constexpr Micros kReconnectInterval = 60'000;
constexpr Micros kStallThreshold = 1'000'000;  // timers are at most 0.2 s apart
constexpr Micros kLongAgo = -1'000'000;

}  // namespace

CoordinatorClient::CoordinatorClient(net::Loop& loop, const Settings& settings, Events events)
    : loop_(loop),
      settings_(settings),
      events_(std::move(events)),
      addresses_(settings.seeds, static_cast<std::size_t>(getpid())),
      connect_began_at_(kLongAgo),
      last_turn_at_(net::Loop::now()) {}

void CoordinatorClient::send(const Message& message) {
    if (!connection_ || !connection_->is_open()) return;
    connection_->send(message);
    sent_at_ = net::Loop::now();
}

void CoordinatorClient::connect(Micros now) {
    const std::optional<std::string> member = addresses_.take_next();
    if (!member) return;
    connect_began_at_ = now;
    const auto address = net::Address::read(settings_.internal_of(*member));
    if (!address) return;
    MessageConnection::Events events;
    events.on_connected = [this] { connection_->send(events_.make_registration()); };
    events.on_message = [this](const ReceivedMessage& received) { on_message(received.message); };
    events.on_disconnected = [this] { disconnect(); };
    connection_ = std::make_unique<MessageConnection>(loop_, *address, kConnectTimeout, std::move(events));
}

void CoordinatorClient::disconnect() {
    if (!connection_) return;
    connection_->close();
    closed_.push_back(std::move(connection_));
    registered_ = false;
    events_.disconnected();
}

bool CoordinatorClient::is_stalled(Micros now) const { return now > last_turn_at_ + kStallThreshold; }

void CoordinatorClient::on_message(const Message& message) {
    const Micros now = net::Loop::now();
    if (is_stalled(now)) {
        last_turn_at_ = now;
        events_.stalled();
        return disconnect();
    }
    if (const auto* redirect = std::get_if<Redirect>(&message)) return on_redirect(now, *redirect);
    bool begins_session = false;
    if (const auto* registered = std::get_if<Registered>(&message)) {
        addresses_.set_members(registered->members);
        begins_session = !std::exchange(registered_, true);
    }
    events_.message_received(message, begins_session);
}

// A named leader is tried at once, another member after the usual interval.
void CoordinatorClient::on_redirect(Micros now, const Redirect& redirect) {
    const bool names_leader = !redirect.leader.empty();
    addresses_.set_redirect(redirect.leader);
    disconnect();
    connect_began_at_ = names_leader ? 0 : now;
}

void CoordinatorClient::tick(Micros now) {
    if (is_stalled(now) && connection_) {
        events_.stalled();
        disconnect();
    }
    last_turn_at_ = now;
    if (connection_) {
        const Micros timeout = registered_ ? kPeerTimeout : kRegistrationTimeout;
        if (now > std::max(connection_->last_received_at(), connect_began_at_) + timeout)
            disconnect();
        else if (registered_ &&
                 now >= std::max(connection_->last_received_at(), sent_at_) + kHeartbeatInterval)
            send(Heartbeat{});
    }
    if (!connection_ && now >= connect_began_at_ + kReconnectInterval) connect(now);
}

std::optional<Micros> CoordinatorClient::next_timer() const {
    if (!connection_) return connect_began_at_ + kReconnectInterval;
    if (registered_) return std::max(connection_->last_received_at(), sent_at_) + kHeartbeatInterval;
    return std::nullopt;
}

}  // namespace gannethold::cluster
