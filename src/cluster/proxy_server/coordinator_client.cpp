#include "cluster/proxy_server/coordinator_client.hpp"

#include <unistd.h>

#include <algorithm>
#include <utility>
#include <variant>

#include "cluster/base/mechanisms.hpp"

namespace gannethold::cluster {
namespace {

constexpr Micros kConnectTimeout = 350'000;
constexpr Micros kRegistrationTimeout = 500'000;  // without any message before the registration is answered
constexpr Micros kPeerTimeout = 800'000;          // without any message in a session
constexpr Micros kHeartbeatInterval = 250'000;
constexpr Micros kReconnectInterval = 60'000;
constexpr Micros kStallThreshold = 1'000'000;  // timers are at most 0.2 s apart
// An acquire request may wait for its slot: only a heartbeat that is not answered either says that the
// coordinator is silent. Its answer takes a round trip.
constexpr Micros kProbeDelay = 100'000;
constexpr Micros kSilenceAfter = 300'000;
constexpr Micros kLongAgo = -1'000'000;

}  // namespace

CoordinatorClient::CoordinatorClient(net::Loop& loop, const Settings& settings, Events events)
    : loop_(loop),
      settings_(settings),
      events_(std::move(events)),
      addresses_(settings.seed_addresses, static_cast<std::size_t>(getpid())),
      connect_began_at_(kLongAgo),
      last_turn_at_(net::Loop::now()) {}

void CoordinatorClient::send(const Message& message) {
    if (!connection_ || !connection_->is_open()) return;
    connection_->send(message);
    sent_at_ = net::Loop::now();
    const bool wants_answer =
        std::holds_alternative<AcquireRequest>(message) || std::holds_alternative<Heartbeat>(message);
    if (wants_answer && unanswered_since_ == 0) unanswered_since_ = sent_at_;
}

bool CoordinatorClient::is_silent(Micros now) const {
    return !is_off(Mechanism::silence_detection) && registered_ && unanswered_since_ > 0 &&
           now >= unanswered_since_ + kSilenceAfter;
}

void CoordinatorClient::connect(Micros now) {
    const std::optional<std::string> member = addresses_.take_next();
    if (!member) return;
    connect_began_at_ = now;
    const auto address = net::Address::parse(settings_.internal_address_of(*member));
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
    unanswered_since_ = 0;
    probed_ = false;
    events_.disconnected();
}

bool CoordinatorClient::is_stalled(Micros now) const { return now > last_turn_at_ + kStallThreshold; }

void CoordinatorClient::on_message(const Message& message) {
    const Micros now = net::Loop::now();
    unanswered_since_ = 0;
    probed_ = false;
    if (is_stalled(now)) {
        last_turn_at_ = now;
        events_.stalled();
        return disconnect();
    }
    if (const auto* redirect = std::get_if<Redirect>(&message)) return on_redirect(now, *redirect);
    bool begins_session = false;
    if (const auto* registered = std::get_if<RegisterResponse>(&message)) {
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
        else if (const std::optional<Micros> due = next_heartbeat(); due && now >= *due)
            send_heartbeat();
    }
    if (!connection_ && now >= connect_began_at_ + kReconnectInterval) connect(now);
}

void CoordinatorClient::send_heartbeat() {
    probed_ = unanswered_since_ > 0;
    send(Heartbeat{});
}

// Nothing: there is no session.
std::optional<Micros> CoordinatorClient::next_heartbeat() const {
    if (!connection_ || !registered_) return std::nullopt;
    const Micros usual = std::max(connection_->last_received_at(), sent_at_) + kHeartbeatInterval;
    if (unanswered_since_ == 0 || probed_) return usual;
    return std::min(usual, unanswered_since_ + kProbeDelay);
}

std::optional<Micros> CoordinatorClient::next_timer() const {
    if (!connection_) return connect_began_at_ + kReconnectInterval;
    const std::optional<Micros> heartbeat = next_heartbeat();
    if (!heartbeat || unanswered_since_ == 0) return heartbeat;
    const Micros silent_at = unanswered_since_ + kSilenceAfter;
    return net::Loop::now() < silent_at ? std::min(*heartbeat, silent_at) : heartbeat;
}

}  // namespace gannethold::cluster
