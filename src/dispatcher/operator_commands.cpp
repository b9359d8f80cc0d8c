// The commands of the control socket: status reports, drains and holds. The names in the JSON objects are the
// protocol's (docs/control.md).
#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <map>

#include "dispatcher/dispatcher.hpp"

namespace gannethold::dispatcher {
namespace {

using json::Array;
using json::Number;
using json::Object;
using json::Value;

constexpr std::size_t kMaxFailures = 200;
constexpr std::array<Micros, 5> kAgeLimits{100'000, 500'000, 1'000'000, 5'000'000, 30'000'000};
constexpr double kMaxDeadlineSeconds = 24 * 3'600;

template <class T>
Value integer(T n) {
    return Value(Number{std::to_string(n)});
}
Value decimal(double number) {
    char text[32];
    const auto [end, error] = std::to_chars(text, text + sizeof text, std::isfinite(number) ? number : 0,
                                            std::chars_format::fixed, 4);
    return Value(Number{std::string(text, error == std::errc() ? end : text + 1)});
}
Value milliseconds(Micros t) { return integer(t / 1000); }

const std::string& require_runner(const Value& request) {
    const std::string* const name = request.find_string("runner");
    if (!name || name->empty()) throw control::Refused("which runner? \"runner\" is missing");
    return *name;
}

std::string operator_label(const Value& request, const std::string& by) {
    const std::string* const operator_name = request.find_string("by");
    return operator_name && !operator_name->empty() ? by + " (" + operator_name->substr(0, 80) + ")" : by;
}

std::uint64_t read_ticket(const Value& request) {
    const auto ticket = request.find_number("ticket");
    if (!ticket) return 0;
    if (!(*ticket >= 0 && *ticket < 1e15)) throw control::Refused("\"ticket\" is no ticket");
    return static_cast<std::uint64_t>(*ticket);
}

}  // namespace

const std::string& Dispatcher::workload_name(WorkloadId id) const {
    const auto tube = tube_workloads_.names.find(id);
    return tube == tube_workloads_.names.end() ? workload_registry_.name_of(id) : tube->second;
}

void Dispatcher::publish(const char* what, Object more) {
    if (!control_socket_) return;
    more["what"] = Value(std::string(what));
    control_socket_->publish(std::move(more));
}

void Dispatcher::record_failure(const Task& task, const runners::CallEnded& ended) {
    ++failed_assignments_;
    failures_.push_back({net::Loop::now(), task.request_id, book_.name_of(ended.runner),
                         workload_name(task.workload), ended.ending, ended.elapsed});
    if (failures_.size() > kMaxFailures) failures_.pop_front();
    if (!control_socket_) return;
    const Failure& failure = failures_.back();
    publish("failure", {{"request", Value(failure.request)},
                        {"runner", Value(failure.runner)},
                        {"workload", Value(failure.workload)},
                        {"cause", Value(std::string(net::name_of(failure.close_reason)))},
                        {"after_ms", milliseconds(failure.elapsed)}});
}

Object Dispatcher::on_request(const std::string& what, const Value& request, const std::string& by) {
    if (what == "status") return status();
    if (what == "runners") return runner_status();
    if (what == "tasks") return task_status();
    if (what == "failures") return failure_status();
    if (what == "drain") return start_drain(request, operator_label(request, by));
    if (what == "undrain") return cancel_drain(request, operator_label(request, by));
    if (what == "hold") return hold_runner(request, operator_label(request, by));
    if (what == "kick") return kick_job(request, operator_label(request, by));
    if (what == "release") return release_runner(request, operator_label(request, by));
    throw control::Refused("\"" + what + "\" is not known here");
}

Object Dispatcher::drain_status() const {
    const Micros now = net::Loop::now();
    Object o;
    o["phase"] = Value(std::string(drain::name_of(drain_.phase())));
    o["tasks_left"] = integer(unanswered());
    if (const auto deadline = drain_.deadline()) {
        o["deadline_in_ms"] = milliseconds(*deadline - now);
        o["for_ms"] = milliseconds(now - drain_.changed_at());
    }
    if (drain_.ticket() > 0) o["ticket"] = integer(drain_.ticket()), o["by"] = Value(drain_.requested_by());
    Object tasks_by_workload;
    std::map<WorkloadId, std::size_t> by_workload;
    for (const auto& [id, task] : tasks_)
        if (task.requester) ++by_workload[task.workload];
    for (const auto& [id, n] : by_workload) tasks_by_workload[workload_name(id)] = integer(n);
    o["left_by_workload"] = Value(std::move(tasks_by_workload));
    return o;
}

Object Dispatcher::status() const {
    Object o;
    o["name"] = Value(config_.name);
    o["listen"] = Value(config_.listen.text);
    o["drain"] = Value(drain_status());
    const std::vector<RunnerView> runners = balancer_.runners();
    const Micros now = net::Loop::now();
    o["runners"] = integer(runners.size());
    o["ready"] =
        integer(std::count_if(runners.begin(), runners.end(), [](const RunnerView& r) { return r.ready; }));
    o["aside"] = integer(std::count_if(runners.begin(), runners.end(), [now](const RunnerView& r) {
        return r.ready && now < r.ejected_until;
    }));
    o["held"] = integer(holds_.all().size());
    o["tasks"] = integer(unanswered());
    o["out"] = integer(
        std::count_if(tasks_.begin(), tasks_.end(), [](const auto& t) { return t.second.in_flight > 0; }));
    o["connections"] = integer(server_.sessions());
    o["taken"] = integer(tasks_accepted_);
    const metrics::AnswerCounts answers = counters_.total_answers();
    o["finished"] = integer(answers.finished);
    o["bounced"] = integer(answers.rejected);
    o["abandoned"] = integer(answers.abandoned);
    o["failed_assignments"] = integer(failed_assignments_);
    o["roster_version"] = integer(book_.version());
    if (deduplication_.is_enabled) o["repeats"] = Value(retry_status());
    if (tube_server_) o["tubes"] = Value(tube_status());
    o["keepsake"] = Value(snapshot_status());
    if (shadow_) o["shadow"] = Value(shadow_status());
    if (control_socket_) o["seq"] = integer(control_socket_->published());
    return o;
}

Object Dispatcher::runner_status() const {
    const Micros now = net::Loop::now();
    std::map<std::string, Object> rows;
    const auto failures_of = [this](const std::string& name) {
        Array last;
        for (auto failure = failures_.rbegin(); failure != failures_.rend() && last.size() < 3; ++failure)
            if (failure->runner == name)
                last.push_back(Value(std::string(net::name_of(failure->close_reason))));
        return last;
    };
    const auto add_hold = [&](Object& o, const std::string& name) {
        const auto hold = holds_.all().find(name);
        if (hold == holds_.all().end()) return;
        o["held_by"] = Value(hold->second.by);
        o["held_for_ms"] = milliseconds(now - hold->second.since);
        if (!hold->second.why.empty()) o["held_why"] = Value(hold->second.why);
    };
    for (const RunnerView& r : balancer_.runners()) {
        const std::string& name = book_.name_of(r.runner);
        const bool held = holds_.has(name);
        Object o;
        o["runner"] = Value(name);
        const auto entry = book_.current(name);
        const bool listed = entry && entry->update.entries.front().state == RunnerState::ready;
        o["state"] = Value(std::string(held                      ? "held"
                                       : !r.ready                ? (listed ? "closed" : "not ready")
                                       : now < r.ejected_until   ? "aside"
                                       : r.trial                 ? "on trial"
                                       : r.slow_start_factor < 1 ? "cold"
                                                                 : "ready"));
        o["share"] = decimal(r.ready ? r.fraction : 0);
        o["out"] = integer(r.in_flight);
        o["slots"] = decimal(r.slots);
        o["free"] = decimal(r.ready ? std::max(0.0, r.free_slots) : 0);
        o["warmth"] = decimal(r.slow_start_factor);
        if (r.reported_at >= 0) o["report_age_ms"] = milliseconds(now - r.reported_at);
        if (now < r.ejected_until) o["aside_for_ms"] = milliseconds(r.ejected_until - now);
        if (Array last = failures_of(name); !last.empty()) o["last_failures"] = Value(std::move(last));
        add_hold(o, name);
        rows[name] = std::move(o);
    }
    // A held runner stays in the report after the Balancer has removed it with nothing in flight.
    for (const auto& [name, hold] : holds_.all()) {
        Object& o = rows[name];
        o["runner"] = Value(name);
        o["state"] = Value(std::string("held"));
        add_hold(o, name);
    }
    Array list;
    for (auto& [name, row] : rows) list.push_back(Value(std::move(row)));
    return {{"runners", Value(std::move(list))}};
}

Object Dispatcher::task_status() const {
    const Micros now = net::Loop::now();
    struct Row {
        std::size_t waiting = 0, in_flight = 0;
        Micros oldest = 0;
        std::array<std::size_t, kAgeLimits.size() + 1> ages{};
    };
    std::map<std::string, Row> rows;
    for (const auto& [id, task] : tasks_) {
        if (!task.requester) continue;
        Row& row = rows[workload_name(task.workload)];
        ++(task.in_flight > 0 ? row.in_flight : row.waiting);
        const Micros age = now - task.accepted_at;
        row.oldest = std::max(row.oldest, age);
        ++row.ages[static_cast<std::size_t>(std::lower_bound(kAgeLimits.begin(), kAgeLimits.end(), age) -
                                            kAgeLimits.begin())];
    }
    Array list;
    for (const auto& [name, row] : rows) {
        Object o;
        o["workload"] = Value(name);
        o["waiting"] = integer(row.waiting);
        o["out"] = integer(row.in_flight);
        o["oldest_ms"] = milliseconds(row.oldest);
        Array ages;
        for (const std::size_t n : row.ages) ages.push_back(integer(n));
        o["ages"] = Value(std::move(ages));
        list.push_back(Value(std::move(o)));
    }
    Array limits;
    for (const Micros age : kAgeLimits) limits.push_back(milliseconds(age));
    return {{"tasks", Value(std::move(list))}, {"age_limits_ms", Value(std::move(limits))}};
}

Object Dispatcher::failure_status() const {
    const Micros now = net::Loop::now();
    Array list;
    for (auto failure = failures_.rbegin(); failure != failures_.rend(); ++failure) {
        Object o;
        o["ago_ms"] = milliseconds(now - failure->failed_at);
        o["cause"] = Value(std::string(net::name_of(failure->close_reason)));
        o["runner"] = Value(failure->runner);
        o["workload"] = Value(failure->workload);
        o["request"] = Value(failure->request);
        o["after_ms"] = milliseconds(failure->elapsed);
        list.push_back(Value(std::move(o)));
    }
    return {{"failures", Value(std::move(list))}, {"in_all", integer(failed_assignments_)}};
}

Object Dispatcher::start_drain(const Value& request, const std::string& by) {
    const Micros now = net::Loop::now();
    const auto deadline = request.find_number("deadline_s");
    if (!deadline || !std::isfinite(*deadline))
        throw control::Refused("by when? \"deadline_s\" is missing or no number");
    const double bounded = std::clamp(*deadline, 0.0, 2 * kMaxDeadlineSeconds);
    const drain::DrainResult result =
        drain_.request(now, now + static_cast<Micros>(bounded * 1e6), read_ticket(request), by);
    if (!result.accepted) throw control::Refused(result.reason);
    log_.info(now, "control: drain within ", log::field("seconds", bounded), " s, ordered by ",
              log::field("by", by));
    update_drain();
    return drain_status();
}

Object Dispatcher::cancel_drain(const Value& request, const std::string& by) {
    const drain::DrainResult result = drain_.cancel(net::Loop::now(), read_ticket(request), by);
    if (!result.accepted) throw control::Refused(result.reason);
    log_.info(net::Loop::now(), "control: drain undone by ", log::field("by", by));
    update_drain();
    return drain_status();
}

// Passes the runner's entry, with its present hold, to the Balancer and the connections.
void Dispatcher::reapply_hold(const std::string& runner) {
    for (const auto& [id, entry] : pull_workers_.all())
        if (book_.name_of(id) == runner) {
            apply_event(pull_workers_.make_update(entry, holds_, book_));
            return tube_server_->broker().resend_capacity(id);
        }
    auto update = book_.current(runner);
    if (!update) return;
    if (tube_server_)
        for (EndpointEntry& e : update->update.entries) e.workloads = tube_workloads_.pushed_workloads;
    holds_.apply_to(*update, book_);
    for (const auto& seat : update->targets)
        links_.set_endpoint(seat.runner, seat.address, seat.open, seat.restarted);
    apply_event(update->update);
}

Object Dispatcher::hold_runner(const Value& request, const std::string& by) {
    const std::string& runner = require_runner(request);
    const bool is_pull_worker = std::any_of(pull_workers_.all().begin(), pull_workers_.all().end(),
                                            [&](const auto& g) { return book_.name_of(g.first) == runner; });
    if (!is_pull_worker && !book_.current(runner))
        throw control::Refused("no runner " + runner + " was ever listed");
    const std::string* const reason = request.find_string("why");
    if (!holds_.add(runner, {net::Loop::now(), by, reason ? reason->substr(0, 200) : ""}))
        throw control::Refused(runner + " is held already, by " + holds_.all().at(runner).by);
    log_.info(net::Loop::now(), "control: held ", log::field("runner", runner), " by ", log::field("by", by));
    reapply_hold(runner);
    publish("hold", {{"runner", Value(runner)}, {"by", Value(by)}});
    return {{"runner", Value(runner)}, {"held", integer(holds_.all().size())}};
}

Object Dispatcher::release_runner(const Value& request, const std::string& by) {
    const std::string& runner = require_runner(request);
    if (!holds_.remove(runner)) throw control::Refused(runner + " is not held");
    log_.info(net::Loop::now(), "control: released ", log::field("runner", runner), " by ",
              log::field("by", by));
    reapply_hold(runner);
    publish("release", {{"runner", Value(runner)}, {"by", Value(by)}});
    return {{"runner", Value(runner)}, {"held", integer(holds_.all().size())}};
}

}  // namespace gannethold::dispatcher
