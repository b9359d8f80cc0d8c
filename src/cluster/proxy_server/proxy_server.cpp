#include "cluster/proxy_server/proxy_server.hpp"

#include <algorithm>
#include <random>
#include <utility>

#include "cluster/base/events.hpp"

namespace gannethold::cluster {
namespace {

constexpr Micros kSweepInterval = 500'000;
constexpr Micros kMaxTickInterval = 200'000;
constexpr Micros kQueuedTickInterval = 30'000;    // while requests are queued without a coordinator
constexpr Micros kShutdownTickInterval = 50'000;  // the delay until completely written responses are noticed

RequestHandler::Options make_handler_options(const Settings& settings) {
    std::random_device random;
    RequestHandler::Options options;
    options.name = settings.node_name;
    options.zone = settings.zone;
    options.incarnation = (static_cast<Number>(random()) << 16) + 1;
    const Number high = static_cast<Number>(random()) << 32;
    options.random_seed = high | random();
    options.late_turn_interval = settings.late_turn;
    return options;
}

// Leaves the remaining file descriptors for connections to runners and to the core.
std::size_t max_client_connections(const Settings& settings) {
    return static_cast<std::size_t>(std::max<std::int64_t>(64, settings.max_file_descriptors * 6 / 10));
}

}  // namespace

ProxyServer::ProxyServer(net::Loop& loop, Settings settings, const Addresses& addresses,
                         std::function<void()> on_stopped)
    : settings_(std::move(settings)),
      handler_(make_handler_options(settings_)),
      on_stopped_(std::move(on_stopped)),
      upstream_(loop, upstream_events()),
      downstream_(loop, addresses.frontend, max_client_connections(settings_), downstream_events()),
      readiness_(loop, addresses.readiness, [this] { return readiness(); }),
      coordinator_(loop, settings_, coordinator_events()),
      timer_(loop, [this] { on_timer(); }) {
    on_timer();
}

UpstreamRunners::Events ProxyServer::upstream_events() {
    UpstreamRunners::Events events;
    events.on_attempt_completed = [this](RequestId id, AttemptResult result) {
        Actions actions;
        handler_.on_attempt_completed(net::Loop::now(), id, result, actions);
        execute(actions);
    };
    events.on_probe_completed = [this](const std::string& address, bool reachable) {
        Actions actions;
        handler_.on_probe_completed(address, reachable, actions);
        execute(actions);
    };
    events.on_probe_rescheduled = [this] { set_timer(); };
    return events;
}

DownstreamServer::Events ProxyServer::downstream_events() {
    DownstreamServer::Events events;
    events.on_request = [this](RequestId id, std::string_view host, std::string_view target,
                               std::uint32_t deadline_ms) {
        Actions actions;
        handler_.on_request(net::Loop::now(), id, host, target, deadline_ms, actions);
        execute(actions);
    };
    events.on_client_disconnected = [this](RequestId id) {
        Actions actions;
        handler_.on_client_disconnected(net::Loop::now(), id, actions);
        execute(actions);
    };
    return events;
}

CoordinatorClient::Events ProxyServer::coordinator_events() {
    CoordinatorClient::Events events;
    events.make_registration = [this] { return handler_.make_registration(); };
    events.on_message = [this](const Message& message, bool begins_session) {
        on_coordinator_message(message, begins_session);
    };
    events.on_disconnected = [this] {
        Actions actions;
        handler_.on_coordinator_disconnected(net::Loop::now(), actions);
        execute(actions);
    };
    events.on_stalled = [this] {
        Event("process_stalled", Level::warning).with("pending", handler_.pending_requests());
    };
    return events;
}

void ProxyServer::on_coordinator_message(const Message& message, bool begins_session) {
    if (const auto* update = std::get_if<ConfigurationUpdate>(&message)) return on_configuration(*update);
    const Micros now = net::Loop::now();
    Actions actions;
    handler_.set_coordinator_silent(now, false, actions);
    handler_.on_message(now, message, actions);
    if (begins_session) handler_.on_coordinator_registered(now, actions);
    execute(actions);
}

void ProxyServer::on_configuration(const ConfigurationUpdate& update) {
    if (update.version <= handler_.version()) return;
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(configuration, configurations_.receive(update, handler_.version()));
            downstream_.set_limits(configuration->limits());
            handler_.configure(std::move(configuration));
            Event("configuration_applied").with("version", handler_.version());
            return {};
        },
        [&](ErrorCode error, const ErrorDetail& detail) {
            Event("configuration_not_applied", Level::warning)
                .with("error", error_response(error).name)
                .with("detail", detail.text);
        },
        [] {});
    // Also sent after an error, with the old version: the coordinator sends an update to a proxy that lacks
    // the newest version.
    coordinator_.send(ConfigurationAck{handler_.version()});
}

void ProxyServer::execute(const Actions& actions) {
    for (const Message& message : actions.messages) coordinator_.send(message);
    log_losses();
    for (const Actions::LocalReply& local_reply : actions.local_replies) downstream_.reply(local_reply);
    for (const RequestId id : actions.relayed_responses)
        if (std::optional<HttpMessage> response = upstream_.take_response(id))
            downstream_.relay(id, std::move(*response));
    for (const RequestId id : actions.cancelled_attempts) upstream_.cancel(id);
    for (const Actions::Forward& forward : actions.forwards)
        if (DownstreamRequest* const request = downstream_.find(forward.request))
            upstream_.forward(forward, *request);
    for (const std::string& address : actions.evicted_addresses) upstream_.evict(address);
    for (const std::string& address : actions.probed_addresses) upstream_.probe(net::Loop::now(), address);
    set_timer();
}

void ProxyServer::log_losses() {
    for (const ValueLoss& loss : handler_.take_new_losses())
        Event("request_value_lost")
            .with("outcome", name_of(loss.outcome))
            .with("cause", name_of(loss.cause))
            .with("service", loss.service)
            .with("took_ms", loss.took / 1000);
}

Readiness ProxyServer::readiness() const {
    if (shutdown_.has_begun()) return Readiness::shutting_down;
    return handler_.configuration() ? Readiness::ready : Readiness::no_configuration;
}

void ProxyServer::on_timer() {
    const Micros now = net::Loop::now();
    coordinator_.tick(now);
    Actions actions;
    handler_.set_coordinator_silent(now, coordinator_.is_silent(now), actions);
    handler_.tick(now, actions);
    execute(actions);
    upstream_.tick(now);
    if (now >= next_sweep_) sweep(now);
    if (shutdown_.has_begun()) advance_shutdown(now);
    set_timer();
}

void ProxyServer::sweep(Micros now) {
    next_sweep_ = now + kSweepInterval;
    coordinator_.sweep();
    downstream_.sweep(now);
    readiness_.sweep(now);
    upstream_.sweep(now);
}

void ProxyServer::begin_shutdown() {
    if (shutdown_.has_begun()) return;
    const Micros now = net::Loop::now();
    shutdown_.begin(now, settings_.grace_period);
    Event("shutdown_started").with("pending", handler_.pending_requests());
    downstream_.begin_shutdown();
    Actions actions;
    handler_.begin_shutdown(now, shutdown_.response_deadline(), actions);
    execute(actions);
}

void ProxyServer::advance_shutdown(Micros now) {
    for (;;) {
        switch (shutdown_.next_step(now, downstream_.busy_connections())) {
            case Shutdown::Step::none:
                return;
            case Shutdown::Step::close_idle:
                downstream_.close_idle();
                break;
            case Shutdown::Step::answer_pending: {
                Actions actions;
                handler_.answer_all_pending(now, actions);
                execute(actions);
                break;
            }
            case Shutdown::Step::stop:
                on_stopped_();
                return;
        }
    }
}

void ProxyServer::set_timer() {
    const Micros now = net::Loop::now();
    Micros next = std::min(next_sweep_, now + kMaxTickInterval);
    for (const std::optional<Micros> at :
         {coordinator_.next_timer(), handler_.next_deadline(), upstream_.next_probe()})
        if (at) next = std::min(next, *at);
    if (shutdown_.has_begun()) next = std::min(next, now + kShutdownTickInterval);
    const bool may_have_queued = !handler_.has_coordinator() && handler_.pending_requests() > 0;
    if (may_have_queued) next = std::min(next, now + kQueuedTickInterval);
    timer_.set(next);
}

}  // namespace gannethold::cluster
