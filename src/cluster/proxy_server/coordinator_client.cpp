#include "cluster/proxy_server/coordinator_client.hpp"

#include <unistd.h>

#include <algorithm>
#include <utility>
#include <variant>

#include "cluster/base/mechanisms.hpp"

namespace gannethold::cluster {
namespace {

constexpr Micros kConnectTimeout = 350'000;
constexpr Micros kRegistrationTimeout = 500'000;  // without a message, before the registration is answered
constexpr Micros kSessionTimeout = 800'000;       // without a message, in a session
constexpr Micros kHeartbeatInterval = 250'000;
constexpr Micros kReconnectInterval = 60'000;
constexpr Micros kStallThreshold = 1'000'000;  // timers are at most 0.2 s apart
// An unanswered acquire request may be waiting for a slot, so that it does not prove that the coordinator is
// silent. An unanswered heartbeat does, because its answer takes one round trip only.
constexpr Micros kProbeHeartbeatDelay = 100'000;
constexpr Micros kSilenceTimeout = 300'000;
constexpr Micros kNeverConnected = -1'000'000;

}  // namespace

CoordinatorClient::CoordinatorClient(net::Loop& loop, const Settings& settings, Events events)
    : loop_(loop),
      settings_(settings),
      events_(std::move(events)),
      addresses_(settings.seed_addresses, static_cast<std::size_t>(getpid())),
      connect_started_at_(kNeverConnected),
      last_active_at_(net::Loop::now()) {}

void CoordinatorClient::send(const Message& message) {
    if (!connection_ || !connection_->is_open()) return;
    connection_->send(message);
    last_sent_at_ = net::Loop::now();
    const bool expects_answer =
        std::holds_alternative<AcquireRequest>(message) || std::holds_alternative<Heartbeat>(message);
    if (expects_answer && unanswered_since_ == 0) unanswered_since_ = last_sent_at_;
}

bool CoordinatorClient::is_silent(Micros now) const {
    return !is_off(Mechanism::silence_detection) && registered_ && unanswered_since_ > 0 &&
           now >= unanswered_since_ + kSilenceTimeout;
}

void CoordinatorClient::connect(Micros now) {
    const std::optional<std::string> member = addresses_.take_next();
    if (!member) return;
    connect_started_at_ = now;
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
    probe_heartbeat_sent_ = false;
    events_.on_disconnected();
}

bool CoordinatorClient::is_stalled(Micros now) const { return now > last_active_at_ + kStallThreshold; }

void CoordinatorClient::on_message(const Message& message) {
    const Micros now = net::Loop::now();
    unanswered_since_ = 0;
    probe_heartbeat_sent_ = false;
    if (is_stalled(now)) {
        last_active_at_ = now;
        events_.on_stalled();
        return disconnect();
    }
    if (const auto* redirect = std::get_if<Redirect>(&message)) return on_redirect(now, *redirect);
    bool begins_session = false;
    if (const auto* registered = std::get_if<RegisterResponse>(&message)) {
        addresses_.set_members(registered->members);
        begins_session = !std::exchange(registered_, true);
    }
    events_.on_message(message, begins_session);
}

// Connects to a named leader at once, and to another member after kReconnectInterval.
void CoordinatorClient::on_redirect(Micros now, const Redirect& redirect) {
    const bool has_leader = !redirect.leader.empty();
    addresses_.set_redirect(redirect.leader);
    disconnect();
    connect_started_at_ = has_leader ? 0 : now;
}

void CoordinatorClient::tick(Micros now) {
    if (is_stalled(now) && connection_) {
        events_.on_stalled();
        disconnect();
    }
    last_active_at_ = now;
    if (connection_) {
        const Micros timeout = registered_ ? kSessionTimeout : kRegistrationTimeout;
        if (now > std::max(connection_->last_received_at(), connect_started_at_) + timeout)
            disconnect();
        else if (const std::optional<Micros> due = next_heartbeat(); due && now >= *due)
            send_heartbeat();
    }
    if (!connection_ && now >= connect_started_at_ + kReconnectInterval) connect(now);
}

void CoordinatorClient::send_heartbeat() {
    probe_heartbeat_sent_ = unanswered_since_ > 0;
    send(Heartbeat{});
}

// Returns when the next heartbeat is due; nullopt if there is no session.
std::optional<Micros> CoordinatorClient::next_heartbeat() const {
    if (!connection_ || !registered_) return std::nullopt;
    const Micros regular = std::max(connection_->last_received_at(), last_sent_at_) + kHeartbeatInterval;
    if (unanswered_since_ == 0 || probe_heartbeat_sent_) return regular;
    return std::min(regular, unanswered_since_ + kProbeHeartbeatDelay);
}

std::optional<Micros> CoordinatorClient::next_timer() const {
    if (!connection_) return connect_started_at_ + kReconnectInterval;
    const std::optional<Micros> heartbeat = next_heartbeat();
    if (!heartbeat || unanswered_since_ == 0) return heartbeat;
    const Micros silent_at = unanswered_since_ + kSilenceTimeout;
    return net::Loop::now() < silent_at ? std::min(*heartbeat, silent_at) : heartbeat;
}

}  // namespace gannethold::cluster
