#include "cluster/coordinator/coordinator.hpp"

#include <algorithm>
#include <utility>

#include "cluster/base/events.hpp"
#include "cluster/coordinator/coordinator_status.hpp"

namespace gannethold::cluster {
namespace {

constexpr Micros kWorkerListInterval = 1'000'000;
constexpr Micros kWorkerListRetryInterval = 300'000;
// Delays that combine the announcements for several proxies that register or disconnect at about the same
// time.
constexpr Micros kRanksDelayAfterRegistration = 300'000;
constexpr Micros kRanksDelayAfterDisconnect = 2'000'000;
constexpr std::size_t kMaxRecentActions = 512;
// Keeps nonces below the platform's limit of 64 bytes.
constexpr std::size_t kMaxNodeNameInNonceBytes = 24;

// The prefix is unique even if one process starts two coordinators in one term, because the platform answers
// a repeated nonce with the runner that it started for the first request. A later process on this machine
// leads in later terms only.
std::string make_nonce_prefix(const std::string& node_name, Number term) {
    static Number coordinators_started = 0;
    return node_name.substr(0, kMaxNodeNameInNonceBytes) + "-" + std::to_string(term) + "-" +
           std::to_string(++coordinators_started) + "-";
}

SlotTable::Options make_slot_table_options(const Settings& settings) {
    SlotTable::Options options;
    options.retry_budget = settings.retry_budget_slack;
    options.retry_budget_window = settings.retry_budget_window;
    options.max_rejections = settings.rejection_slack;
    options.late_turn_interval = settings.late_turn;
    return options;
}

Planner::Options make_planner_options(const Settings& settings, const ExchangeRates& rates, Number term) {
    Planner::Options options;
    options.rates = rates;
    options.nonce_prefix = make_nonce_prefix(settings.node_name, term);
    options.requests_per_s = settings.platform_actions_per_s;
    options.region_of = settings.region_of_zone;
    // Time for proxies to register the starting runners that they know. A starting runner that no proxy knows
    // causes one superfluous start.
    options.takeover_delay = 300'000;
    return options;
}

}  // namespace

Coordinator::Coordinator(net::Loop& loop, const Settings& settings, const ExchangeRates& rates, Number term,
                         Send send)
    : term_(term),
      send_(std::move(send)),
      slot_table_(make_slot_table_options(settings)),
      planner_(make_planner_options(settings, rates, term), net::Loop::now()),
      list_poller_({.max_pages_per_s = settings.platform_lists_per_s}, net::Loop::now()),
      platform_(loop, settings.platform_address, FencingToken{settings.node_name, term}, *this),
      recent_actions_(kMaxRecentActions) {
    Event("coordinator_started").with("term", term);
    next_tick_ = net::Loop::now();
}

// ---- configuration and proxies ----

void Coordinator::on_committed(const LogEntry& entry, std::shared_ptr<const Configuration> parsed) {
    if (entry.members != members_) {
        members_ = entry.members;
        announce_ranks_at_ = net::Loop::now();
    }
    if (entry.version <= publisher_.newest()) return;
    if (parsed)
        slot_table_.configure(std::move(parsed));
    else
        leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_AUTO(configuration, Configuration::parse(entry.body));
                slot_table_.configure(std::move(configuration));
                return {};
            },
            [&] {
                Event("committed_configuration_unreadable", Level::error).with("version", entry.version);
            });
    publisher_.publish(entry.version, entry.body);
    for (auto& [session, proxy] : proxies_) send_update(session, proxy);
    plan_all(net::Loop::now());
}

void Coordinator::send_update(Session session, RegisteredProxy& proxy) {
    if (const auto update = publisher_.next_update(proxy.configuration)) send_(session, *update);
}

void Coordinator::announce_ranks_by(Micros at) {
    if (announce_ranks_at_ == 0) announce_ranks_at_ = at;
}

// Ranks follow the order of names, so that they do not change while the set of proxies is the same.
void Coordinator::announce_ranks() {
    announce_ranks_at_ = 0;
    std::vector<std::pair<std::string, Session>> by_name;
    for (const auto& [session, proxy] : proxies_) by_name.emplace_back(proxy.name, session);
    std::sort(by_name.begin(), by_name.end());
    const auto count = static_cast<std::uint32_t>(by_name.size());
    for (std::uint32_t rank = 0; rank < count; ++rank)
        send_(by_name[rank].second, RegisterResponse{term_, rank, count, members_});
}

void Coordinator::on_registered(Session session, const RegisterRequest& registration) {
    RegisteredProxy& proxy = proxies_[session];
    proxy.name = registration.name;
    proxy.configuration.acknowledged = registration.configuration_version;
    send_(session, RegisterResponse{term_, 0, static_cast<std::uint32_t>(proxies_.size()), members_});
    send_update(session, proxy);
    ProxyOutbox messages;
    slot_table_.on_proxy_registered(net::Loop::now(), session, registration, messages);
    send_all(messages);
    announce_ranks_by(net::Loop::now() + kRanksDelayAfterRegistration);
}

void Coordinator::on_disconnected(Session session) {
    if (proxies_.erase(session) == 0) return;
    ProxyOutbox messages;
    slot_table_.on_proxy_disconnected(net::Loop::now(), session, messages);
    send_all(messages);
    announce_ranks_by(net::Loop::now() + kRanksDelayAfterDisconnect);
}

void Coordinator::send_all(ProxyOutbox& messages) {
    for (const ProxyMessage& outgoing : messages) send_(outgoing.to, outgoing.message);
    messages.clear();
}

void Coordinator::on_message(Session session, const Message& message) {
    const auto proxy = proxies_.find(session);
    if (proxy == proxies_.end()) return;
    const Micros now = net::Loop::now();
    if (const auto* request = std::get_if<AcquireRequest>(&message))
        return on_acquire(now, session, *request);
    if (std::get_if<Heartbeat>(&message) != nullptr) return send_(session, Heartbeat{});
    if (const auto* acknowledgement = std::get_if<ConfigurationAck>(&message)) {
        proxy->second.configuration = {acknowledgement->version, 0};
        return send_update(session, proxy->second);
    }
    update_slots(now, session, message);
}

void Coordinator::on_acquire(Micros now, Session session, const AcquireRequest& request) {
    ProxyOutbox messages;
    Function* const function = slot_table_.on_acquire_request(now, session, request, messages);
    send_all(messages);
    if (function && !function->waiting.empty()) plan_waiting(now, *function);
}

void Coordinator::update_slots(Micros now, Session session, const Message& message) {
    ProxyOutbox messages;
    if (const auto* release = std::get_if<Release>(&message))
        slot_table_.on_release(now, session, *release, messages);
    else if (const auto* reachable = std::get_if<RunnerReachable>(&message))
        slot_table_.on_runner_reachable(now, session, *reachable, messages);
    else if (const auto* load = std::get_if<LoadReport>(&message))
        slot_table_.on_load_report(now, session, *load);
    else if (const auto* outstanding = std::get_if<OutstandingReport>(&message))
        slot_table_.on_outstanding_report(now, session, *outstanding);
    send_all(messages);
}

// ---- the platform ----

void Coordinator::on_runner_page(Micros now, const RunnerListPage& page) {
    const RunnerListPoller::Update update = list_poller_.on_page(now, page);
    ProxyOutbox messages;
    for (const ListedRunner& listed : page.runners)
        slot_table_.on_runner_listed(now, listed.info, listed.draining, messages);
    for (const std::string& runner : update.removed) slot_table_.on_runner_gone(now, runner, messages);
    if (update.is_complete) planner_.on_list_complete(now);
    send_all(messages);
}

void Coordinator::on_runner_list_failed(Micros now) { list_poller_.on_failure(now); }

void Coordinator::on_worker_list(Micros now, std::vector<Worker> workers) {
    worker_list_pending_ = false;
    ProxyOutbox messages;
    planner_.update_workers(std::move(workers));
    planner_.cancel_lost_starts(now, slot_table_, messages);
    send_all(messages);
}

void Coordinator::on_worker_list_failed(Micros now) {
    worker_list_pending_ = false;
    next_worker_list_ = now + kWorkerListRetryInterval;
}

void Coordinator::on_start_completed(Micros now, const StartRunner& start,
                                     const PlatformClient::StartReply& reply) {
    const bool started = reply.result == StartResult::started;
    ProxyOutbox messages;
    if (started) {
        RunnerInfo runner;
        runner.runner_id = reply.runner_id;
        runner.address = reply.address;
        runner.service = start.service;
        runner.worker = start.worker;
        runner.zone = planner_.zone_of(start.worker);
        slot_table_.on_runner_started(now, runner, messages);
    }
    Event("runner_start_completed", started ? Level::info : Level::warning)
        .with("service", start.service)
        .with("worker", start.worker)
        .with("reason", start.reason)
        .with("status", reply.status)
        .with("runner", reply.runner_id);
    recent_actions_.add({now, PlatformAction::Kind::start, start.service, start.worker, reply.runner_id,
                         reply.status, start.reason});
    planner_.on_start_result(now, start.nonce, reply.result);
    send_all(messages);
    // No planning here: the next tick plans for the changed state, and the waiting requests are planned for
    // already.
}

void Coordinator::on_stop_completed(Micros now, const StopRunner& stop,
                                    const PlatformClient::StopReply& reply) {
    Event("runner_stop_completed")
        .with("runner", stop.runner)
        .with("reason", stop.reason)
        .with("done", reply.done);
    recent_actions_.add({now, PlatformAction::Kind::stop, {}, {}, stop.runner, reply.status, stop.reason});
    planner_.on_stop_result(stop.runner, reply.done);
    ProxyOutbox messages;
    if (reply.done) slot_table_.on_runner_gone(now, stop.runner, messages);
    send_all(messages);
}

void Coordinator::plan_waiting(Micros now, Function& function) {
    ProxyOutbox messages;
    planner_.plan_for_waiting(now, slot_table_, function, messages);
    send_all(messages);
    send_due_requests(now);
}

void Coordinator::plan_all(Micros now) {
    ProxyOutbox messages;
    planner_.plan_all(now, slot_table_, messages);
    send_all(messages);
    send_due_requests(now);
}

void Coordinator::send_due_requests(Micros now) {
    const PlatformRequests requests = planner_.take_due_requests(now);
    for (const StartRunner& start : requests.starts) platform_.start(start);
    for (const StopRunner& stop : requests.stops) platform_.stop(stop);
}

void Coordinator::poll_platform(Micros now) {
    platform_.tick(now);
    if (const auto page_token = list_poller_.take_due_request(now)) platform_.list_runners(*page_token);
    if (!worker_list_pending_ && now >= next_worker_list_) {
        worker_list_pending_ = true;
        next_worker_list_ = now + kWorkerListInterval;
        platform_.list_workers();
    }
}

// ---- ticks, log and status ----

void Coordinator::tick(Micros now) {
    if (now < next_tick_) return;
    next_tick_ = now + SlotTable::kSampleInterval;
    poll_platform(now);
    log_priority_inversions();
    if (announce_ranks_at_ > 0 && now >= announce_ranks_at_) announce_ranks();
    ProxyOutbox messages;
    slot_table_.tick(now, messages);
    send_all(messages);
    plan_all(now);
}

// Logs the inversions since the last call that the table still has.
void Coordinator::log_priority_inversions() {
    const auto& inversions = slot_table_.priority_inversions();
    const std::size_t new_entries =
        std::min(inversions.total_added() - inversions_logged_, inversions.entries().size());
    for (std::size_t i = inversions.entries().size() - new_entries; i < inversions.entries().size(); ++i)
        log_priority_inversion(inversions.entries()[i]);
    inversions_logged_ = inversions.total_added();
}

void Coordinator::log_priority_inversion(const PriorityInversion& inversion) const {
    Event("priority_inversion")
        .with("function", inversion.service)
        .with("proxy", proxy_name(inversion.session))
        .with("request_id", inversion.request_id)
        .with("target_left_ms", inversion.time_left / 1000)
        .with("priority", inversion.priority)
        .with("before_proxy", proxy_name(inversion.passed_session))
        .with("before_request_id", inversion.passed_request_id)
        .with("before_target_left_ms", inversion.passed_time_left / 1000)
        .with("reason", inversion.reason);
}

std::string Coordinator::proxy_name(Session session) const {
    const std::string* const name = slot_table_.proxy_name(session);
    return name ? *name : std::string();
}

void Coordinator::explain(Micros now, const std::string& part, json::Object& status) const {
    add_coordinator_status(now, part, {slot_table_, recent_actions_, proxies_}, status);
}

}  // namespace gannethold::cluster
