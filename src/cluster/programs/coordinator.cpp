#include "cluster/programs/coordinator.hpp"

#include <algorithm>

#include "cluster/base/events.hpp"
#include "cluster/configuration/delta.hpp"
#include "cluster/programs/admin.hpp"

namespace gannethold::cluster {
namespace {

constexpr std::size_t kBodies = 8;
constexpr Micros kWorkers = 1'000'000, kCallLimit = 1'200'000;
constexpr std::size_t kNameInNonce = 24;  // bytes, so that a nonce stays under the platform's 64

// Unique also where one term is opened twice by one process: the platform gives the old runner for a nonce
// that it has seen. A later process of this machine leads later terms only.
std::string nonce_prefix(const std::string& node_name, Number term) {
    static Number opened = 0;
    return node_name.substr(0, kNameInNonce) + "-" + std::to_string(term) + "-" + std::to_string(++opened) +
           "-";
}

SlotTable::Options slot_table_options(const Settings& s) {
    SlotTable::Options t;
    t.retry_budget = s.budget_slack;
    t.retry_budget_window = s.budget_window;
    t.max_rejections = s.rejection_slack;
    t.late_turn_interval = s.late_turn;
    return t;
}

Planner::Options planner_options(const Settings& s, Number term) {
    Planner::Options t;
    t.nonce_prefix = nonce_prefix(s.node_name, term);
    t.requests_per_s = s.duty_per_s;
    t.region_of = s.region_of;
    // Fronts tell what they know to be starting as they come; what nobody knows costs one start too many.
    t.takeover_delay = 300'000;
    return t;
}

}  // namespace

Coordinator::Coordinator(net::Loop& loop, const Settings& settings, Number term,
                         std::function<void(Session, const Message&)> say)
    : settings_(settings),
      term_(term),
      say_(std::move(say)),
      slot_table_(slot_table_options(settings)),
      planner_(planner_options(settings, term), net::Loop::now()),
      list_poller_({.max_pages_per_s = settings.list_rate_per_s}, net::Loop::now()),
      platform_api_({settings.node_name, term}),
      platform_(loop,
                {.connect_timeout = 600'000,
                 .idle_timeout = 8'000'000,
                 .max_idle_connections = 4,
                 .max_response_bytes = 16U << 20},
                {.on_call_completed = [this](CompletedCall&& call) {
                    on_call_completed(call.id, call.result, call.response);
                }}) {
    Event("coordinator_opened").with("term", term);
    next_tick_ = net::Loop::now();
}

// ---- configuration and fronts
// --------------------------------------------------------------------------------

void Coordinator::committed(const LogEntry& entry, std::shared_ptr<const Configuration> read) {
    if (entry.members != members_) {
        members_ = entry.members;
        announce_at_ = net::Loop::now();
    }
    if (entry.version <= version_) return;
    if (read)
        slot_table_.configure(std::move(read));
    else
        leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_AUTO(configuration, Configuration::read(entry.body));
                slot_table_.configure(std::move(configuration));
                return {};
            },
            [&] {
                Event("committed_configuration_unreadable", Level::error).with("version", entry.version);
            });
    version_ = entry.version;
    bodies_[version_] = entry.body;
    while (bodies_.size() > kBodies) bodies_.erase(bodies_.begin());
    deltas_.clear();
    for (auto& [session, front] : proxies_) push(session, front);
    plan(net::Loop::now());
}

// What the front lacks, as the difference to what it holds. One version is under way to a front: the next,
// which may skip some, follows its confirmation, so that however slow its link is no more than one is queued
// there.
void Coordinator::push(Session session, ProxySession& front) {
    if (version_ == 0 || front.version >= version_ || front.sent != 0) return;
    const auto base = bodies_.find(front.version);
    const Number from = base == bodies_.end() ? 0 : front.version;
    std::string& delta = deltas_[from];
    if (delta.empty())
        delta = make_delta(from > 0 ? std::string_view{base->second} : std::string_view{}, bodies_[version_]);
    front.sent = version_;
    say_(session, ConfigurationSent{version_, {from, delta}});
}

void Coordinator::announce_registered() {
    std::vector<std::pair<std::string, Session>> order;
    for (const auto& [session, front] : proxies_) order.emplace_back(front.name, session);
    std::sort(order.begin(), order.end());
    for (std::uint32_t rank = 0; rank < order.size(); ++rank)
        say_(order[rank].second, Registered{term_, rank, static_cast<std::uint32_t>(order.size()), members_});
}

void Coordinator::came(Session session, const Register& registration) {
    ProxySession& front = proxies_[session];
    front.name = registration.name;
    front.version = registration.version;
    say_(session, Registered{term_, 0, static_cast<std::uint32_t>(std::max<std::size_t>(1, proxies_.size())),
                             members_});
    push(session, front);
    ProxyOutbox mail;
    slot_table_.on_proxy_registered(net::Loop::now(), session, registration, mail);
    post(mail);
    if (announce_at_ == 0) announce_at_ = net::Loop::now() + 300'000;
}

void Coordinator::left(Session session) {
    if (proxies_.erase(session) == 0) return;
    ProxyOutbox mail;
    slot_table_.on_proxy_disconnected(net::Loop::now(), session, mail);
    post(mail);
    if (announce_at_ == 0) announce_at_ = net::Loop::now() + 2'000'000;
}

void Coordinator::post(ProxyOutbox& mail) {
    for (const ProxyMessage& one : mail) say_(one.to, one.message);
    mail.clear();
}

void Coordinator::said(Session session, const Message& message) {
    const auto at = proxies_.find(session);
    if (at == proxies_.end()) return;
    const Micros now = net::Loop::now();
    ProxyOutbox mail;
    if (const auto* ask = std::get_if<AcquireRequest>(&message)) {
        Function* const f = slot_table_.on_acquire_request(now, session, *ask, mail);
        post(mail);
        if (f && !f->waiting.empty()) plan(now, f);
        return;
    }
    if (const auto* release = std::get_if<Release>(&message))
        slot_table_.on_release(now, session, *release, mail);
    if (const auto* up = std::get_if<RunnerReachable>(&message))
        slot_table_.on_runner_reachable(now, session, *up, mail);
    if (const auto* loads = std::get_if<LoadReport>(&message))
        slot_table_.on_load_report(now, session, *loads);
    if (const auto* outs = std::get_if<OutstandingReport>(&message))
        slot_table_.on_outstanding_report(now, session, *outs);
    if (std::holds_alternative<Heartbeat>(message)) say_(session, Heartbeat{});
    if (const auto* held = std::get_if<ConfigurationHeld>(&message)) {
        at->second.version = held->version;
        at->second.sent = 0;
        push(session, at->second);
    }
    post(mail);
}

// ---- the platform
// --------------------------------------------------------------------------------------------

void Coordinator::call(Call call, const HttpMessage& request, Micros limit) {
    const CallId id{++last_call_};
    call.until = net::Loop::now() + limit;
    calls_[id] = std::move(call);
    platform_.call(id, settings_.platform, request);
}

void Coordinator::on_call_completed(CallId id, CallResult result, const HttpMessage& answer) {
    const auto at = calls_.find(id);
    if (at == calls_.end()) return;
    const Call call = std::move(at->second);
    calls_.erase(at);
    const Micros now = net::Loop::now();
    const bool answered = result == CallResult::completed;
    ProxyOutbox mail;
    switch (call.what) {
        case Call::What::list:
            leaf::try_handle_all(
                [&]() -> leaf::result<void> {
                    if (!answered) return failure(ErrorCode::platform_silent, "list");
                    BOOST_LEAF_AUTO(page, platform_api_.read_runners(answer));
                    const RunnerListPoller::Update update = list_poller_.on_page(now, page);
                    for (const ListedRunner& listed : page.runners)
                        slot_table_.on_runner_listed(now, listed.info, listed.draining, mail);
                    for (const std::string& runner : update.removed)
                        slot_table_.on_runner_gone(now, runner, mail);
                    if (update.is_complete) planner_.on_list_complete(now);
                    return {};
                },
                [&](ErrorCode kind, const ErrorDetail& detail) {
                    list_poller_.on_failure(now);
                    Event("list_failed", Level::warning)
                        .with("kind", error_response(kind).name)
                        .with("detail", detail.text);
                },
                [&] { list_poller_.on_failure(now); });
            break;
        case Call::What::workers:
            workers_out_ = false;
            leaf::try_handle_all(
                [&]() -> leaf::result<void> {
                    if (!answered) return failure(ErrorCode::platform_silent, "workers");
                    BOOST_LEAF_AUTO(all, platform_api_.read_workers(answer));
                    planner_.update_workers(std::move(all));
                    planner_.cancel_lost_starts(now, slot_table_, mail);
                    return {};
                },
                [&](ErrorCode kind, const ErrorDetail& detail) {
                    next_workers_ = now + 300'000;
                    Event("workers_failed", Level::warning)
                        .with("kind", error_response(kind).name)
                        .with("detail", detail.text);
                },
                [&] { next_workers_ = now + 300'000; });
            break;
        case Call::What::begin: {
            const StartRunnerResponse start =
                answered ? platform_api_.read_start(answer) : StartRunnerResponse{};
            RunnerInfo begun;
            begun.runner = start.runner_id;
            begun.address = start.address;
            if (start.result == StartResult::started) {
                begun.service = call.begin.service;
                begun.worker = call.begin.worker;
                begun.zone = planner_.zone_of(call.begin.worker);
                slot_table_.on_runner_started(now, begun, mail);
            }
            Event("start", start.result == StartResult::started ? Level::info : Level::warning)
                .with("service", call.begin.service)
                .with("worker", call.begin.worker)
                .with("why", call.begin.why)
                .with("answer", answered ? std::to_string(answer.status) : "none")
                .with("runner", begun.runner);
            recent_actions_.add({now, call.begin.service, call.begin.worker, begun.runner,
                                 answered ? std::to_string(answer.status) : "none", call.begin.why, true});
            planner_.on_start_result(now, call.begin.nonce, start.result);
            break;
        }
        case Call::What::stop: {
            const bool done = answered && platform_api_.read_stop(answer);
            Event("stop").with("runner", call.stop.runner).with("why", call.stop.why).with("done", done);
            recent_actions_.add({now,
                                 {},
                                 {},
                                 call.stop.runner,
                                 answered ? std::to_string(answer.status) : "none",
                                 call.stop.why,
                                 false});
            planner_.on_stop_result(call.stop.runner, done);
            if (done) slot_table_.on_runner_gone(now, call.stop.runner, mail);
            break;
        }
    }
    post(mail);
    // What the answer changed is planned with the next sample; what waits has been planned for.
}

// For one function, or with the sample for all.
void Coordinator::plan(Micros now, Function* one) {
    ProxyOutbox mail;
    if (one)
        planner_.plan_for_waiting(now, slot_table_, *one, mail);
    else
        planner_.plan_all(now, slot_table_, mail);
    post(mail);
    const PlatformRequests requests = planner_.take_due_requests(now);
    for (const StartRunner& begin : requests.starts) {
        Call c;
        c.what = Call::What::begin;
        c.begin = begin;
        call(std::move(c), platform_api_.start_runner(begin), kCallLimit);
    }
    for (const StopRunner& stop : requests.stops) {
        Call c;
        c.what = Call::What::stop;
        c.stop = stop;
        call(std::move(c), platform_api_.stop_runner(stop), kCallLimit);
    }
}

void Coordinator::explain(const std::string& what, json::Object& into) const {
    const Micros now = net::Loop::now();
    const auto asked = [&](const char* part) { return what.empty() || what == part; };
    json::List starts;
    json::List functions;
    json::List waiting;
    json::List fronts;
    if (asked("starts"))
        for (const PlatformAction& d : recent_actions_.kept())
            starts.emplace_back(json::Object{{"ago_ms", told_ms(now - d.at)},
                                             {"deed", told(std::string(d.start ? "start" : "stop"))},
                                             {"service", told(d.service)},
                                             {"worker", told(d.worker)},
                                             {"runner", told(d.runner)},
                                             {"why", told(std::string(d.why))},
                                             {"answer", told(d.answer)}});
    for (const auto& [name, f] : slot_table_.functions()) {
        if (asked("functions") && (f->active || !f->runners.empty())) {
            functions.emplace_back(
                json::Object{{"function", told(name)},
                             {"mode", told(std::string(f->unrestricted ? "unrestricted" : "coordinated"))},
                             {"runners", told(static_cast<double>(f->runners.size()))},
                             {"slots_out", told(f->outstanding())},
                             {"waiting", told(static_cast<double>(f->waiting.size()))},
                             {"overtaken", told(static_cast<double>(f->inversions))},
                             {"rate_per_s", told(f->zones.requests_per_s())},
                             {"load", told(f->load.slow())}});
        }
        if (asked("waiting"))
            for (const auto& [place, w] : f->waiting.all())
                waiting.emplace_back(json::Object{
                    {"function", told(name)},
                    {"front", told(slot_table_.proxy_name(w.session) ? *slot_table_.proxy_name(w.session)
                                                                     : std::string())},
                    {"priority", told(w.request.priority)},
                    {"waited_ms", told_ms(now - w.since)},
                    {"aim_left_ms", told_ms(w.target_at - now)},
                    {"deadline_left_ms", told_ms(w.deadline_at - now)}});
    }
    if (asked("overtakings")) {
        json::List all;
        const auto name = [&](Session s) {
            return told(slot_table_.proxy_name(s) ? *slot_table_.proxy_name(s) : std::string());
        };
        for (const PriorityInversion& o : slot_table_.priority_inversions().kept())
            all.emplace_back(json::Object{{"ago_ms", told_ms(now - o.at)},
                                          {"function", told(o.service)},
                                          {"went", name(o.session)},
                                          {"priority", told(o.priority)},
                                          {"aim_left_ms", told_ms(o.time_left)},
                                          {"before", name(o.passed_session)},
                                          {"its_priority", told(o.passed_priority)},
                                          {"its_aim_left_ms", told_ms(o.passed_time_left)},
                                          {"why", told(std::string(o.why))}});
        into["overtakings"] = json::Value(std::move(all));
    }
    if (asked("fronts"))
        for (const auto& [session, front] : proxies_)
            fronts.emplace_back(json::Object{{"front", told(front.name)},
                                             {"version_held", told(static_cast<double>(front.version))},
                                             {"version_sent", told(static_cast<double>(front.sent))}});
    if (asked("starts")) into["starts"] = json::Value(std::move(starts));
    if (asked("functions")) into["functions"] = json::Value(std::move(functions));
    if (asked("waiting")) into["waiting"] = json::Value(std::move(waiting));
    if (asked("fronts")) into["fronts"] = json::Value(std::move(fronts));
}

void Coordinator::tick(Micros now) {
    if (now < next_tick_) return;
    next_tick_ = now + SlotTable::kSampleInterval;
    std::vector<CallId> late;
    for (const auto& [id, call] : calls_)
        if (now >= call.until) late.push_back(id);
    for (const CallId id : late) {
        platform_.cancel(id);
        on_call_completed(id, CallResult::connection_lost, {});
    }
    platform_.close_expired(now);
    if (const auto page_token = list_poller_.take_due_request(now)) {
        Call c;
        c.what = Call::What::list;
        call(std::move(c), platform_api_.list_runners(*page_token), kCallLimit);
    }
    if (!workers_out_ && now >= next_workers_) {
        workers_out_ = true;
        next_workers_ = now + kWorkers;
        Call c;
        c.what = Call::What::workers;
        call(std::move(c), platform_api_.list_workers(), kCallLimit);
    }
    // What was decided since the last look, as far as the record still holds it.
    const auto& priority_inversions = slot_table_.priority_inversions();
    const std::size_t fresh =
        std::min(priority_inversions.all() - priority_inversions_logged_, priority_inversions.kept().size());
    for (std::size_t i = priority_inversions.kept().size() - fresh; i < priority_inversions.kept().size();
         ++i) {
        const PriorityInversion& o = priority_inversions.kept()[i];
        const auto front = [&](Session s) {
            return slot_table_.proxy_name(s) ? *slot_table_.proxy_name(s) : std::string();
        };
        Event("overtaken")
            .with("function", o.service)
            .with("front", front(o.session))
            .with("ask", o.request_id)
            .with("aim_left_ms", o.time_left / 1000)
            .with("priority", o.priority)
            .with("before_front", front(o.passed_session))
            .with("before_ask", o.passed_request_id)
            .with("before_aim_left_ms", o.passed_time_left / 1000)
            .with("why", o.why);
    }
    priority_inversions_logged_ = priority_inversions.all();
    if (announce_at_ > 0 && now >= announce_at_) {
        announce_at_ = 0;
        announce_registered();
    }
    ProxyOutbox mail;
    slot_table_.tick(now, mail);
    post(mail);
    plan(now);
}

}  // namespace gannethold::cluster
