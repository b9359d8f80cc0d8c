#include "virtual/policies.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <stdexcept>

namespace gannethold::rehearsal {
namespace {

class Own final : public Policy {
  public:
    Own(const SettingsMap& orders, std::uint64_t seed) : balancer_(orders, seed) {}
    void note(Micros now, const Event& event) override { balancer_.apply(now, event); }
    void settle(Micros now, std::vector<Action>& out) override { balancer_.collect_actions(now, out); }
    std::optional<LearnedState> lore() const override { return balancer_.learned_state(); }
    void believe(const LearnedState& lore) override { balancer_.restore(lore); }
    std::vector<double> fractions(std::size_t runners) const override {
        std::vector<double> all(runners);
        for (const auto& [runner, share] : balancer_.fractions())
            all[static_cast<std::size_t>(runner)] = share;
        return all;
    }

  private:
    Balancer balancer_;
};

// A baseline sends each task at once to whom its way of picking names, again (twice at most) where that is
// certain to do no harm, and then gives up: what a plain balancer does.
class Baseline : public Policy {
  public:
    Baseline(const Day& day, std::uint64_t seed) : day_(day), chance_(seed, 77) {}

    void note(Micros now, const Event& event) override {
        now_ = now;
        if (const auto* news = std::get_if<MembershipUpdate>(&event)) heed(*news);
        if (const auto* a = std::get_if<TaskArrived>(&event)) place(tasks_[a->task] = {*a, {}, {}});
        if (const auto* e = std::get_if<AssignmentEnded>(&event)) heed(*e);
        if (const auto* left = std::get_if<ClientDisconnected>(&event)) {
            if (const auto t = tasks_.find(left->task); t != tasks_.end()) {
                for (std::size_t n = 0; n < t->second.to.size(); ++n)
                    wanted_.push_back(Withdraw{left->task, static_cast<int>(n)});
                tasks_.erase(t);
            }
        }
        if (std::get_if<TimerFired>(&event)) asks_at_ = 0;
    }
    void settle(Micros now, std::vector<Action>& out) override {
        if (!following_ && !asking_ && day_.dispatchers.on_request && now >= ask_after_) {
            asking_ = true;
            wanted_.push_back(WatchMembership{true});
        } else if (!following_ && !asking_ && day_.dispatchers.on_request && asks_at_ == 0) {
            asks_at_ = ask_after_;
            wanted_.push_back(WakeAt{ask_after_, TimerId{}});
        }
        out.insert(out.end(), wanted_.begin(), wanted_.end());
        wanted_.clear();
    }

  protected:
    virtual std::size_t pick(const std::vector<RunnerId>& ready) = 0;
    int out_at(RunnerId r) const {
        const auto found = out_.find(r);
        return found == out_.end() ? 0 : found->second;
    }
    Chance& chance() { return chance_; }

  private:
    struct Task {
        TaskArrived asked;
        std::vector<RunnerId> to;
        std::vector<bool> never_ran;
    };
    void heed(const MembershipUpdate& news) {
        asking_ = false;
        following_ = news.scope != UpdateScope::failed && news.scope != UpdateScope::cached;
        if (news.scope == UpdateScope::failed)
            ask_after_ = now_ + 250'000 + static_cast<Micros>(chance_.uniform() * 250'000);
        if (news.scope == UpdateScope::complete || news.scope == UpdateScope::cached) ready_.clear();
        for (const EndpointEntry& e : news.entries) {
            std::erase(ready_, e.runner);
            if (e.state == RunnerState::ready) ready_.push_back(e.runner);
        }
        std::sort(ready_.begin(), ready_.end());
    }
    void place(Task& task) {
        std::vector<RunnerId> able;
        for (const RunnerId r : ready_)
            if (std::find(task.to.begin(), task.to.end(), r) == task.to.end()) able.push_back(r);
        const bool none = able.empty() || task.to.size() > 2;
        if (none || now_ >= task.asked.expiry - 8 * day_.dispatchers.resolution) return give_up(task);
        const RunnerId to = able[pick(able)];
        task.to.push_back(to);
        task.never_ran.push_back(false);
        ++out_[to];
        wanted_.push_back(Assign{task.asked.task, to, task.asked.expiry - 4 * day_.dispatchers.resolution});
    }
    bool harmless(const Task& task) const {
        const WorkloadPlan& w = day_.workloads[static_cast<std::size_t>(task.asked.workload)];
        return w.effect == Effects::idempotent ||
               (w.effect == Effects::fingerprinted && w.group == Group::all) ||
               std::all_of(task.never_ran.begin(), task.never_ran.end(), [](bool b) { return b; });
    }
    void give_up(Task& task) {
        const TaskId id = task.asked.task;
        if (harmless(task))
            wanted_.push_back(Bounce{id, 0});
        else
            wanted_.push_back(Abandon{id});
        tasks_.erase(id);
    }
    void heed(const AssignmentEnded& e) {
        --out_[e.runner];
        const auto found = tasks_.find(e.task);
        if (found == tasks_.end()) return;
        Task& t = found->second;
        t.never_ran[static_cast<std::size_t>(e.assignment)] = proves_never_ran(e.outcome);
        if (e.task_answered) return void(tasks_.erase(found));
        const WorkloadPlan& w = day_.workloads[static_cast<std::size_t>(t.asked.workload)];
        const bool never = std::all_of(t.never_ran.begin(), t.never_ran.end(), [](bool b) { return b; });
        if (never || w.effect == Effects::idempotent) return place(t);
        give_up(t);
    }

    const Day& day_;
    Chance chance_;
    Micros now_ = 0, ask_after_ = 0, asks_at_ = 0;
    bool following_ = false, asking_ = false;
    std::vector<RunnerId> ready_;
    std::map<TaskId, Task> tasks_;
    std::map<RunnerId, int> out_;
    std::vector<Action> wanted_;
};

class Random final : public Baseline {
    using Baseline::Baseline;
    std::size_t pick(const std::vector<RunnerId>& ready) override { return chance().below(ready.size()); }
};

class RoundRobin final : public Baseline {
    using Baseline::Baseline;
    std::size_t pick(const std::vector<RunnerId>& ready) override { return at_++ % ready.size(); }
    std::size_t at_ = 0;
};

class LeastOutstanding final : public Baseline {
    using Baseline::Baseline;
    std::size_t pick(const std::vector<RunnerId>& ready) override {
        // From a drawn place on, against all dispatchers that prefer the first of the list.
        const std::size_t from = chance().below(ready.size());
        std::size_t best = from;
        for (std::size_t i = 0; i < ready.size(); ++i) {
            const std::size_t at = (from + i) % ready.size();
            if (out_at(ready[at]) < out_at(ready[best])) best = at;
        }
        return best;
    }
};

class TwoChoices final : public Baseline {
    using Baseline::Baseline;
    std::size_t pick(const std::vector<RunnerId>& ready) override {
        const std::size_t a = chance().below(ready.size()), b = chance().below(ready.size());
        return out_at(ready[b]) < out_at(ready[a]) ? b : a;
    }
};

class SeesAll final : public Baseline {
  public:
    SeesAll(const Day& day, std::uint64_t seed, Truth truth)
        : Baseline(day, seed), truth_(std::move(truth)) {}

  private:
    std::size_t pick(const std::vector<RunnerId>& ready) override {
        const std::size_t from = chance().below(ready.size());
        std::size_t best = from;
        double least = HUGE_VAL;
        for (std::size_t i = 0; i < ready.size(); ++i) {
            const std::size_t at = (from + i) % ready.size();
            if (const double t = truth_(ready[at]); t < least) least = t, best = at;
        }
        return best;
    }
    Truth truth_;
};

}  // namespace

const std::vector<std::string>& policy_names() {
    static const std::vector<std::string> names{"own",         "random",  "round-robin", "least-outstanding",
                                                "two-choices", "sees-all"};
    return names;
}

std::unique_ptr<Policy> make_policy(const std::string& name, const Day& day, const SettingsMap& orders,
                                    std::uint64_t seed, Truth truth) {
    if (name == "own") return std::make_unique<Own>(orders, seed);
    if (name == "random") return std::make_unique<Random>(day, seed);
    if (name == "round-robin") return std::make_unique<RoundRobin>(day, seed);
    if (name == "least-outstanding") return std::make_unique<LeastOutstanding>(day, seed);
    if (name == "two-choices") return std::make_unique<TwoChoices>(day, seed);
    if (name == "sees-all") return std::make_unique<SeesAll>(day, seed, std::move(truth));
    throw std::invalid_argument("no such policy: " + name);
}

}  // namespace gannethold::rehearsal
