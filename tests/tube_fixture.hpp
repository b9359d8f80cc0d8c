// An Exchange and a Balancer without sockets, in virtual time: does what a dispatcher does with both, and
// counts how often each job ran.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "beanstalk/tube_broker.hpp"
#include "beanstalk/tube_mapping.hpp"
#include "beanstalk/replies.hpp"
#include "helpers.hpp"

namespace gannethold::beanstalk {

class TubeFixture final : public BrokerCallbacks {
  public:
    explicit TubeFixture(BrokerSettings trade = {}, std::uint64_t seed = 1)
        : orders_(plain_orders()),
          trade_(std::move(trade)),
          workloads_(add_workloads(orders_, trade_)),
          balancer(orders_, seed),
          exchange(trade_, workloads_.mapping, *this) {}

    static BrokerSettings trade(const std::string& effect, bool cold = false) {
        BrokerSettings t;
        t.workers_start_cold = cold;
        t.default_plan.effect = effect;
        return t;
    }

    SessionId connect() {
        const SessionId id{++sessions_};
        said[id];
        exchange.on_session_opened(now, id);
        settle();
        return id;
    }
    void hang_up(SessionId id) {
        exchange.on_session_closed(now, id);
        settle();
    }
    // Sends a command and returns the replies to it.
    std::string ask(SessionId id, const std::string& words) {
        said[id].clear();
        CommandParser reader(trade_.max_body_bytes);
        const std::string bytes = words + "\r\n";
        std::string_view left = bytes;
        for (ParseResult found; !left.empty() && (found = reader.parse(left)) != ParseResult::incomplete;)
            exchange.on_command(now, id, found, std::move(reader.command()));
        settle();
        return said[id];
    }
    void pass(Micros span) {
        const Micros until = now + span;
        for (;;) {
            Micros next = until;
            if (!wakes_.empty()) next = std::min(next, *wakes_.begin());
            if (look_at_ > 0) next = std::min(next, look_at_);
            now = std::max(now, next);
            bool due = false;
            while (!wakes_.empty() && *wakes_.begin() <= now) wakes_.erase(wakes_.begin()), due = true;
            if (due) balancer.apply(now, TimerFired{});
            settle();
            if (now >= until) return;
        }
    }
    void settle() {
        for (int turn = 0; turn < 50; ++turn) {
            look_at_ = exchange.advance(now);
            std::vector<Action> out;
            balancer.collect_actions(now, out);
            if (out.empty()) return;
            for (const Action& a : out) {
                if (const auto* w = std::get_if<WakeAt>(&a)) wakes_.insert(w->at);
                if (const auto* s = std::get_if<Assign>(&a)) assign(*s);
                if (const auto* b = std::get_if<Bounce>(&a))
                    answer(b->task, frontend::Answer::bounced, b->retry_after);
                if (const auto* b = std::get_if<Abandon>(&a)) answer(b->task, frontend::Answer::abandoned, 0);
                if (const auto* w = std::get_if<Withdraw>(&a)) exchange.withdraw(w->task, w->assignment);
                if (const auto* p = std::get_if<Probe>(&a)) exchange.probe(p->runner);
            }
        }
    }
    // The job number in "RESERVED n ..." or "INSERTED n".
    static std::uint64_t number(const std::string& words) {
        const auto space = words.find(' ');
        return space == std::string::npos ? 0 : std::strtoull(words.c_str() + space, nullptr, 10);
    }
    std::string state(std::uint64_t job) {
        if (!watcher_) watcher_ = connect();
        const std::string all = ask(*watcher_, "stats-job " + std::to_string(job));
        const auto at = all.find("state: ");
        return at == std::string::npos ? "none" : all.substr(at + 7, all.find('\n', at) - at - 7);
    }

    // ---- Floor ----
    void send(SessionId to, std::string&& words) override {
        if (words.starts_with("RESERVED ")) {
            // Counts by what the worker receives, not by the exchange's own records: the body identifies the
            // job permanently.
            const std::string body = words.substr(words.find('\n') + 1, words.size() - words.find('\n') - 3);
            ++runs[body];
            last_number[body] = number(words);
        }
        said[to] += words;
    }
    void close(SessionId session) override { exchange.on_session_closed(now, session); }
    TaskId submit_task(const queue::Job& job, const std::string&, const TubePlan& plan,
                       WorkloadId workload) override {
        TaskArrived a;
        a.task = TaskId{++tasks_};
        a.workload = workload, a.customer = CustomerId{UINT32_MAX}, a.expiry = now + plan.expiry;
        tasks[a.task] = {job.id, a.expiry, 0, true};
        balancer.apply(now, a);
        return a.task;
    }
    void cancel_task(TaskId task) override {
        if (!tasks[task].waits) return;
        tasks[task].waits = false;
        balancer.apply(now, ClientDisconnected{task});
    }
    RunnerId add_worker(SessionId, const WorkloadSet& serves, bool cold) override {
        EndpointEntry e;
        e.runner = RunnerId{++workers_}, e.workloads = serves, e.pulls = true, e.started_at = cold ? now : 0;
        entries[e.runner] = e;
        balancer.apply(now, MembershipUpdate{UpdateScope::dynamic_workers, 0, {e}});
        return e.runner;
    }
    void set_worker_workloads(RunnerId worker, const WorkloadSet& serves) override {
        entries[worker].workloads = serves;
        balancer.apply(now, MembershipUpdate{UpdateScope::dynamic_workers, 0, {entries[worker]}});
    }
    void remove_worker(RunnerId worker) override { state_of(worker, RunnerState::gone); }
    void state_of(RunnerId worker, RunnerState state) {
        entries[worker].state = state;
        balancer.apply(now, MembershipUpdate{UpdateScope::dynamic_workers, 0, {entries[worker]}});
        exchange.resend_capacity(worker);
    }
    void set_worker_slots(RunnerId worker, double slots) override {
        balancer.apply(now, CapacityReported{worker, slots});
    }
    void on_call_ended(runners::CallEnded&& e) override {
        const bool finished = e.ending == net::CloseReason::done;
        if (finished) answer(e.task, frontend::Answer::finished, 0);
        const Outcome outcome = finished                                         ? Outcome::finished
                                : e.ending == net::CloseReason::returned         ? Outcome::full
                                : e.ending == net::CloseReason::timed_out_unsent ? Outcome::not_started
                                : e.ending == net::CloseReason::cancelled        ? Outcome::withdrawn
                                : e.ending == net::CloseReason::timed_out        ? Outcome::timed_out
                                : e.ending == net::CloseReason::failed           ? Outcome::error
                                                                                 : Outcome::reset;
        balancer.apply(now, AssignmentEnded{
                                e.task, !tasks[e.task].waits, 0, e.elapsed, e.runner, e.number, outcome, {}});
    }
    void on_probe_ended(RunnerId worker) override {
        balancer.apply(now, ProbeEnded{worker, Outcome::finished, 0, {}});
    }

    struct Task {
        queue::JobId job{};
        Micros expiry = 0;
        int assignments = 0;
        bool waits = false;
    };
    Micros now = 10'000'000;
    std::map<SessionId, std::string> said;
    std::map<std::string, int> runs;  // by body
    std::map<std::string, std::uint64_t> last_number;
    std::map<TaskId, Task> tasks;
    std::map<RunnerId, EndpointEntry> entries;
    int answers_twice = 0, answers_late = 0;

  private:
    void assign(const Assign& wanted) {
        Task& t = tasks[wanted.task];
        exchange.assign(wanted.runner,
                        {wanted.task, t.assignments++, "", "", nullptr,
                         wanted.deadline > 0 ? std::min(wanted.deadline, t.expiry) : t.expiry});
    }
    void answer(TaskId task, frontend::Answer answer, Micros retry_after) {
        Task& t = tasks[task];
        answers_twice += !t.waits;
        answers_late += now > t.expiry;
        if (!std::exchange(t.waits, false)) return;
        exchange.on_answer(task, answer, "", retry_after);
    }

    SettingsMap orders_;
    BrokerSettings trade_;
    TubeWorkloads workloads_;
    std::multiset<Micros> wakes_;
    Micros look_at_ = 0;
    std::uint64_t sessions_ = 0, tasks_ = 0;
    std::uint32_t workers_ = 0;
    std::optional<SessionId> watcher_;

  public:
    Balancer balancer;
    TubeBroker exchange;
};

}  // namespace gannethold::beanstalk
