// What the dispatcher answers on its control socket: views of what it holds, and orders that it carries out.
// The names are the protocol's (docs/control.md).
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

constexpr std::size_t kFailuresKept = 200;
constexpr std::array<Micros, 5> kAges{100'000, 500'000, 1'000'000, 5'000'000, 30'000'000};
constexpr double kLongestDeadline = 24 * 3'600;

template <class T>
Value whole(T n) {
    return Value(Number{std::to_string(n)});
}
Value real(double x) {
    char text[32];
    const auto [end, wrong] =
        std::to_chars(text, text + sizeof text, std::isfinite(x) ? x : 0, std::chars_format::fixed, 4);
    return Value(Number{std::string(text, wrong == std::errc() ? end : text + 1)});
}
Value millis(Micros t) { return whole(t / 1000); }

const std::string& runner_in(const Value& request) {
    const std::string* const name = request.find_string("runner");
    if (!name || name->empty()) throw control::Refused("which runner? \"runner\" is missing");
    return *name;
}

std::string whose(const Value& request, const std::string& by) {
    const std::string* const said = request.find_string("by");
    return said && !said->empty() ? by + " (" + said->substr(0, 80) + ")" : by;
}

std::uint64_t ticket_in(const Value& request) {
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
    if (!desk_) return;
    more["what"] = Value(std::string(what));
    desk_->publish(std::move(more));
}

void Dispatcher::keep_failure(const Task& task, const runners::CallEnded& ended) {
    ++failed_;
    failures_.push_back({net::Loop::now(), task.request_id, book_.name_of(ended.runner),
                         workload_name(task.workload), ended.ending, ended.elapsed});
    if (failures_.size() > kFailuresKept) failures_.pop_front();
    if (!desk_) return;
    const Failure& f = failures_.back();
    publish("failure", {{"request", Value(f.request)},
                        {"runner", Value(f.runner)},
                        {"workload", Value(f.workload)},
                        {"cause", Value(std::string(net::name_of(f.ending)))},
                        {"after_ms", millis(f.elapsed)}});
}

Object Dispatcher::on_request(const std::string& what, const Value& request, const std::string& by) {
    if (what == "status") return tell_status();
    if (what == "runners") return tell_runners();
    if (what == "tasks") return tell_tasks();
    if (what == "failures") return tell_failures();
    if (what == "drain") return order_drain(request, whose(request, by));
    if (what == "undrain") return undo_drain(request, whose(request, by));
    if (what == "hold") return hold(request, whose(request, by));
    if (what == "kick") return kick(request, whose(request, by));
    if (what == "release") return release(request, whose(request, by));
    throw control::Refused("\"" + what + "\" is not known here");
}

Object Dispatcher::tell_drain() const {
    const Micros now = net::Loop::now();
    Object o;
    o["phase"] = Value(std::string(drain::name_of(drain_.phase())));
    o["tasks_left"] = whole(unanswered());
    if (const auto deadline = drain_.deadline()) {
        o["deadline_in_ms"] = millis(*deadline - now);
        o["for_ms"] = millis(now - drain_.changed_at());
    }
    if (drain_.ticket() > 0) o["ticket"] = whole(drain_.ticket()), o["by"] = Value(drain_.requested_by());
    Object left;
    std::map<WorkloadId, std::size_t> by_workload;
    for (const auto& [id, task] : tasks_)
        if (task.asker) ++by_workload[task.workload];
    for (const auto& [id, n] : by_workload) left[workload_name(id)] = whole(n);
    o["left_by_workload"] = Value(std::move(left));
    return o;
}

Object Dispatcher::tell_status() const {
    Object o;
    o["name"] = Value(posting_.name);
    o["listen"] = Value(posting_.listen.text);
    o["drain"] = Value(tell_drain());
    const std::vector<RunnerView> runners = balancer_.runners();
    const Micros now = net::Loop::now();
    o["runners"] = whole(runners.size());
    o["ready"] =
        whole(std::count_if(runners.begin(), runners.end(), [](const RunnerView& r) { return r.ready; }));
    o["aside"] = whole(std::count_if(runners.begin(), runners.end(), [now](const RunnerView& r) {
        return r.ready && now < r.ejected_until;
    }));
    o["held"] = whole(holds_.all().size());
    o["tasks"] = whole(unanswered());
    o["out"] =
        whole(std::count_if(tasks_.begin(), tasks_.end(), [](const auto& t) { return t.second.out > 0; }));
    o["connections"] = whole(server_.sessions());
    o["taken"] = whole(tasks_taken_);
    const metrics::AnswerCounts answers = counters_.total_answers();
    o["finished"] = whole(answers.finished);
    o["bounced"] = whole(answers.rejected);
    o["abandoned"] = whole(answers.abandoned);
    o["failed_assignments"] = whole(failed_);
    o["roster_version"] = whole(book_.version());
    if (deduplication_.is_enabled) o["repeats"] = Value(tell_repeats());
    if (pullers_) o["tubes"] = Value(tell_tubes());
    o["keepsake"] = Value(snapshot_status());
    if (shadow_) o["shadow"] = Value(tell_watched());
    if (desk_) o["seq"] = whole(desk_->published());
    return o;
}

Object Dispatcher::tell_runners() const {
    const Micros now = net::Loop::now();
    std::map<std::string, Object> rows;
    const auto failures_of = [this](const std::string& name) {
        Array last;
        for (auto f = failures_.rbegin(); f != failures_.rend() && last.size() < 3; ++f)
            if (f->runner == name) last.push_back(Value(std::string(net::name_of(f->ending))));
        return last;
    };
    const auto add_hold = [&](Object& o, const std::string& name) {
        const auto hold = holds_.all().find(name);
        if (hold == holds_.all().end()) return;
        o["held_by"] = Value(hold->second.by);
        o["held_for_ms"] = millis(now - hold->second.since);
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
        o["share"] = real(r.ready ? r.fraction : 0);
        o["out"] = whole(r.in_flight);
        o["slots"] = real(r.slots);
        o["free"] = real(r.ready ? std::max(0.0, r.free_slots) : 0);
        o["warmth"] = real(r.slow_start_factor);
        if (r.reported_at >= 0) o["report_age_ms"] = millis(now - r.reported_at);
        if (now < r.ejected_until) o["aside_for_ms"] = millis(r.ejected_until - now);
        if (Array last = failures_of(name); !last.empty()) o["last_failures"] = Value(std::move(last));
        add_hold(o, name);
        rows[name] = std::move(o);
    }
    // One that the module has let go since nothing is out there still stands here: its hold does.
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

Object Dispatcher::tell_tasks() const {
    const Micros now = net::Loop::now();
    struct Row {
        std::size_t waiting = 0, out = 0;
        Micros oldest = 0;
        std::array<std::size_t, kAges.size() + 1> ages{};
    };
    std::map<std::string, Row> rows;
    for (const auto& [id, task] : tasks_) {
        if (!task.asker) continue;
        Row& row = rows[workload_name(task.workload)];
        ++(task.out > 0 ? row.out : row.waiting);
        const Micros age = now - task.taken_at;
        row.oldest = std::max(row.oldest, age);
        ++row.ages[static_cast<std::size_t>(std::lower_bound(kAges.begin(), kAges.end(), age) -
                                            kAges.begin())];
    }
    Array list;
    for (const auto& [name, row] : rows) {
        Object o;
        o["workload"] = Value(name);
        o["waiting"] = whole(row.waiting);
        o["out"] = whole(row.out);
        o["oldest_ms"] = millis(row.oldest);
        Array ages;
        for (const std::size_t n : row.ages) ages.push_back(whole(n));
        o["ages"] = Value(std::move(ages));
        list.push_back(Value(std::move(o)));
    }
    Array limits;
    for (const Micros age : kAges) limits.push_back(millis(age));
    return {{"tasks", Value(std::move(list))}, {"age_limits_ms", Value(std::move(limits))}};
}

Object Dispatcher::tell_failures() const {
    const Micros now = net::Loop::now();
    Array list;
    for (auto f = failures_.rbegin(); f != failures_.rend(); ++f) {
        Object o;
        o["ago_ms"] = millis(now - f->at);
        o["cause"] = Value(std::string(net::name_of(f->ending)));
        o["runner"] = Value(f->runner);
        o["workload"] = Value(f->workload);
        o["request"] = Value(f->request);
        o["after_ms"] = millis(f->elapsed);
        list.push_back(Value(std::move(o)));
    }
    return {{"failures", Value(std::move(list))}, {"in_all", whole(failed_)}};
}

Object Dispatcher::order_drain(const Value& request, const std::string& by) {
    const Micros now = net::Loop::now();
    const auto deadline = request.find_number("deadline_s");
    if (!deadline || !std::isfinite(*deadline))
        throw control::Refused("by when? \"deadline_s\" is missing or no number");
    const double bounded = std::clamp(*deadline, 0.0, 2 * kLongestDeadline);
    const drain::DrainResult ruling =
        drain_.request(now, now + static_cast<Micros>(bounded * 1e6), ticket_in(request), by);
    if (!ruling.accepted) throw control::Refused(ruling.reason);
    log_.info(now, "control: drain within ", log::field("seconds", bounded), " s, ordered by ",
              log::field("by", by));
    look_at_drain();
    return tell_drain();
}

Object Dispatcher::undo_drain(const Value& request, const std::string& by) {
    const drain::DrainResult ruling = drain_.cancel(net::Loop::now(), ticket_in(request), by);
    if (!ruling.accepted) throw control::Refused(ruling.reason);
    log_.info(net::Loop::now(), "control: drain undone by ", log::field("by", by));
    look_at_drain();
    return tell_drain();
}

// Tells the module and the connections what is held of that runner, as the holds now are.
void Dispatcher::heard_anew(const std::string& runner) {
    for (const auto& [id, entry] : guests_.all())
        if (book_.name_of(id) == runner) {
            note(guests_.make_update(entry, holds_, book_));
            return pullers_->broker().resend_capacity(id);
        }
    auto news = book_.current(runner);
    if (!news) return;
    if (pullers_)
        for (EndpointEntry& e : news->update.entries) e.workloads = tube_workloads_.pushed_workloads;
    holds_.apply_to(*news, book_);
    for (const auto& seat : news->targets)
        links_.set_endpoint(seat.runner, seat.address, seat.open, seat.restarted);
    note(news->update);
}

Object Dispatcher::hold(const Value& request, const std::string& by) {
    const std::string& runner = runner_in(request);
    const bool works_here = std::any_of(guests_.all().begin(), guests_.all().end(),
                                        [&](const auto& g) { return book_.name_of(g.first) == runner; });
    if (!works_here && !book_.current(runner))
        throw control::Refused("no runner " + runner + " was ever listed");
    const std::string* const why = request.find_string("why");
    if (!holds_.add(runner, {net::Loop::now(), by, why ? why->substr(0, 200) : ""}))
        throw control::Refused(runner + " is held already, by " + holds_.all().at(runner).by);
    log_.info(net::Loop::now(), "control: held ", log::field("runner", runner), " by ", log::field("by", by));
    heard_anew(runner);
    publish("hold", {{"runner", Value(runner)}, {"by", Value(by)}});
    return {{"runner", Value(runner)}, {"held", whole(holds_.all().size())}};
}

Object Dispatcher::release(const Value& request, const std::string& by) {
    const std::string& runner = runner_in(request);
    if (!holds_.remove(runner)) throw control::Refused(runner + " is not held");
    log_.info(net::Loop::now(), "control: released ", log::field("runner", runner), " by ",
              log::field("by", by));
    heard_anew(runner);
    publish("release", {{"runner", Value(runner)}, {"by", Value(by)}});
    return {{"runner", Value(runner)}, {"held", whole(holds_.all().size())}};
}

}  // namespace gannethold::dispatcher
