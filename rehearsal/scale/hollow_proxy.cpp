#include "scale/hollow_proxy.hpp"

#include <algorithm>

namespace gannethold::scale {
namespace {

using cluster::MessageConnection;

// As in programs/proxy.cpp.
constexpr Micros kConnectLimit = 350'000, kAnswerLimit = 500'000, kSilenceLimit = 800'000;
constexpr Micros kHeartbeatEach = 250'000, kReportEach = 1'000'000;
constexpr std::uint8_t kPriority = 1;
constexpr std::uint32_t kDeadlineMs = 4000;
constexpr Micros kMilli = 1000;
constexpr double kMicrosInSecond = 1e6;

}  // namespace

HollowProxy::HollowProxy(HollowGround& ground, int number)
    : ground_(ground),
      number_(number),
      zone_(number % ground.options.zones),
      core_(number % ground.options.controllers),
      next_core_(core_) {
    const Micros now = net::Loop::now();
    // Spread over the first second, like processes that were started by hand.
    const auto spread = std::uniform_int_distribution<Micros>(0, kReportEach)(ground_.random);
    dial_at_ = now + spread;
    reported_at_ = now + spread;
    call_at_ = now + spread;
}

void HollowProxy::tick(Micros now) {
    if (cut_) return;
    old_.clear();
    keep_line(now);
    if (!line_ && now >= dial_at_) dial(now);
    release_what_ended(now);
    if (registered_) report_loads(now);
    call(now);
    while (!reachable_.empty() && now >= reachable_.front().at) {
        say(cluster::RunnerReachable{reachable_.front().number, true});
        reachable_.pop_front();
    }
}

void HollowProxy::reconnect() {
    if (line_) drop();
}

void HollowProxy::cut(bool is_cut) { cut_ = is_cut; }

// ---- the line ----

void HollowProxy::keep_line(Micros now) {
    if (!line_) return;
    const Micros limit = registered_ ? kSilenceLimit : kAnswerLimit;
    if (now > std::max(line_->last_received_at(), dialed_at_) + limit) return drop();
    if (registered_ && now >= std::max(line_->last_received_at(), said_at_) + kHeartbeatEach)
        say(cluster::Heartbeat{});
}

void HollowProxy::dial(Micros now) {
    core_ = redirected_to_ ? *redirected_to_ : next_core_++ % ground_.options.controllers;
    redirected_to_.reset();
    dialed_at_ = now;
    ground_.dials.fetch_add(1, std::memory_order_relaxed);
    MessageConnection::Events events;
    events.on_connected = [this] { say(registration()); };
    events.on_message = [this](const cluster::ReceivedMessage& received) {
        if (cut_) return;
        ground_.received.add(received.message.index(), line_->message_bytes());
        got(received.message);
    };
    events.on_disconnected = [this] { drop(); };
    line_ = std::make_unique<MessageConnection>(ground_.loop,
                                                *net::Address::read(ground_.addresses.internal(core_)),
                                                kConnectLimit, std::move(events));
}

void HollowProxy::drop() {
    const Micros now = net::Loop::now();
    line_->close();
    old_.push_back(std::move(line_));
    registered_ = false;
    served_by_ = kNobody;
    asks_.clear();
    by_number_.clear();
    reachable_.clear();
    for (auto& [name, instance] : known_) instance.number = 0;
    const Micros least = ground_.options.redial_ms * kMilli;
    const Micros most = ground_.options.redial_most_ms * kMilli;
    const Micros pause = std::min(most, least << std::min(failed_dials_, 16));
    ++failed_dials_;
    // Jitter only where the pause grows: the real proxy has none.
    const bool grows = most > least;
    const Micros jitter = grows ? std::uniform_int_distribution<Micros>(0, pause / 2)(ground_.random) : 0;
    dial_at_ = std::max(now, dialed_at_ + pause - jitter);
}

void HollowProxy::say(const cluster::Message& message) {
    if (!line_ || !line_->is_open()) return;
    said_at_ = net::Loop::now();
    const std::size_t bytes = line_->send(message);
    if (bytes > 0) ground_.sent.add(message.index(), bytes);
}

int HollowProxy::core_of(const std::string& control_address) const {
    for (int core = 0; core < ground_.options.controllers; ++core)
        if (ground_.addresses.control(core) == control_address) return core;
    return kNobody;
}

// ---- what comes ----

void HollowProxy::got(const cluster::Message& message) {
    if (const auto* redirect = std::get_if<cluster::Redirect>(&message)) return got_redirect(*redirect);
    if (std::holds_alternative<cluster::Registered>(message)) return got_registered();
    if (const auto* sent = std::get_if<cluster::ConfigurationSent>(&message)) return got_configuration(*sent);
    if (const auto* told = std::get_if<cluster::RunnerUpdate>(&message)) return got_runner(*told);
    if (const auto* grant = std::get_if<cluster::AcquireGranted>(&message)) return got_grant(*grant);
    if (const auto* mode = std::get_if<cluster::FunctionMode>(&message)) return got_mode(*mode);
    if (const auto* denial = std::get_if<cluster::AcquireDenied>(&message)) {
        asks_.erase(denial->id);
        ground_.denied.fetch_add(1, std::memory_order_relaxed);
    }
}

void HollowProxy::got_redirect(const cluster::Redirect& message) {
    const int leader = core_of(message.leader);
    drop();
    if (leader == kNobody) return;
    // Like the real proxy: at once, where the answer names who leads.
    redirected_to_ = leader;
    dial_at_ = net::Loop::now();
}

void HollowProxy::got_registered() {
    if (registered_) return;
    registered_ = true;
    failed_dials_ = 0;
    served_since_ = net::Loop::now();
    served_by_ = core_;
}

void HollowProxy::got_configuration(const cluster::ConfigurationSent& message) {
    const cluster::Number held = version_;
    const bool fits = message.delta.base == 0 || message.delta.base == held;
    if (fits && message.version > held) version_ = message.version;
    say(cluster::ConfigurationHeld{version_});
}

void HollowProxy::got_runner(const cluster::RunnerUpdate& message) {
    if (message.state == cluster::RunnerState::gone) {
        const auto at = by_number_.find(message.number);
        if (at != by_number_.end()) forget(std::string(at->second));
        return;
    }
    const cluster::RunnerInfo& holding = message.runner;
    const auto [at, fresh] = known_.try_emplace(holding.runner);
    Known& instance = at->second;
    if (fresh) {
        instance.function = function_of(holding.service);
        instance.worker = holding.worker;
        instance.zone = holding.zone;
        functions_[instance.function].instances.push_back(holding.runner);
    }
    instance.number = message.number;
    instance.up = message.state == cluster::RunnerState::ready;
    by_number_[message.number] = holding.runner;
    const Micros start = ground_.options.start_ms * kMilli;
    if (message.watch) reachable_.push_back({net::Loop::now() + start, message.number});
}

void HollowProxy::forget(const std::string& instance) {
    const auto at = known_.find(instance);
    if (at == known_.end()) return;
    std::erase(functions_[at->second.function].instances, instance);
    by_number_.erase(at->second.number);
    known_.erase(at);
}

void HollowProxy::got_grant(const cluster::AcquireGranted& message) {
    const auto asked = asks_.find(message.id);
    const auto instance = by_number_.find(message.runner);
    if (asked == asks_.end() || instance == by_number_.end()) return;
    const Micros now = net::Loop::now();
    ground_.waits_ms.push_back(static_cast<double>(now - asked->second.at) / kMilli);
    ground_.granted.fetch_add(1, std::memory_order_relaxed);
    granted_at_ = now;
    ++known_[instance->second].out;
    working_.push_back({now + ground_.options.work_ms * kMilli, message.id, instance->second});
    asks_.erase(asked);
}

void HollowProxy::got_mode(const cluster::FunctionMode& message) {
    functions_[function_of(message.service)].unrestricted = message.unrestricted;
}

// ---- what it says ----

cluster::Register HollowProxy::registration() const {
    cluster::Register registration;
    registration.name = "hollow-";
    registration.name += std::to_string(number_);
    registration.zone = "z";
    registration.zone += std::to_string(zone_);
    registration.incarnation = static_cast<cluster::Number>(number_) + 1;
    registration.version = version_;
    const Micros now = net::Loop::now();
    for (const auto& [name, instance] : known_)
        if (registers(instance, now))
            registration.runners.push_back({name, function_name(instance.function),
                                            ground_.addresses.instances(), instance.zone, instance.worker,
                                            kSlotsEach, instance.out, instance.up});
    for (const auto& [function, office] : functions_)
        if (office.unrestricted)
            registration.unrestricted.push_back(
                {function_name(function), office.last.count, office.last.busy_ms});
    return registration;
}

bool HollowProxy::registers(const Known& instance, Micros now) const {
    const Micros recent = ground_.options.register_recent_s * kReportEach;
    if (recent == 0 || instance.out > 0 || !instance.up) return true;
    const auto function = functions_.find(instance.function);
    return function != functions_.end() && now < function->second.called_at + recent;
}

void HollowProxy::call(Micros now) {
    const double each = ground_.options.calls / ground_.options.proxies;
    if (each <= 0) return;
    std::exponential_distribution<> pause(each / kMicrosInSecond);
    while (now >= call_at_) {
        call_at_ += static_cast<Micros>(pause(ground_.random));
        if (!registered_) {
            ground_.alone.fetch_add(1, std::memory_order_relaxed);
            continue;
        }
        const int number = ground_.popularity.draw(ground_.random);
        Function& function = functions_[number];
        function.called_at = now;
        if (function.unrestricted) {
            call_unasked(now, function);
            continue;
        }
        std::uint32_t drawn = 0;
        if (!function.instances.empty()) {
            const auto place = ground_.random() % function.instances.size();
            drawn = known_[function.instances[place]].number;
        }
        const std::uint32_t ask = ++last_ask_;
        asks_[ask] = {number, now};
        ground_.asked.fetch_add(1, std::memory_order_relaxed);
        say(cluster::AcquireRequest{ask, drawn, function_name(number),
                                    static_cast<std::uint32_t>(ground_.options.target_ms), kDeadlineMs,
                                    kPriority, 1, false});
    }
}

void HollowProxy::call_unasked(Micros now, Function& function) {
    ++function.count;
    function.busy_ms += static_cast<std::uint32_t>(ground_.options.work_ms);
    ground_.unasked.fetch_add(1, std::memory_order_relaxed);
    granted_at_ = now;
}

void HollowProxy::release_what_ended(Micros now) {
    while (!working_.empty() && now >= working_.front().until) {
        const Working& work = working_.front();
        const auto at = known_.find(work.instance);
        if (at != known_.end()) {
            if (at->second.out > 0) --at->second.out;
            say(cluster::Release{work.ask, at->second.number, cluster::ReleaseReason::answered,
                                 static_cast<std::uint32_t>(ground_.options.work_ms)});
        }
        working_.pop_front();
    }
}

void HollowProxy::report_loads(Micros now) {
    if (now < reported_at_ + kReportEach) return;
    cluster::LoadReport report;
    report.span_ms = static_cast<std::uint32_t>((now - reported_at_) / kMilli);
    reported_at_ = now;
    for (auto& [number, function] : functions_) {
        if (!function.unrestricted) continue;
        function.last = {function_name(number), function.count, function.busy_ms};
        if (function.count > 0) report.loads.push_back(function.last);
        function.count = 0;
        function.busy_ms = 0;
    }
    if (!report.loads.empty()) say(report);
}

}  // namespace gannethold::scale
