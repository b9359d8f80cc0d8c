// The judge must be seen to catch: a scripted bad dispatcher for each breach, played in virtual time, and a
// good one beside it that is cleared.
#include <doctest/doctest.h>

#include <functional>
#include <utility>

#include "virtual/world.hpp"

using namespace gannethold;
using namespace gannethold::rehearsal;

namespace {

enum class Sin {
    none,
    loses,
    answers_late,
    sends_after,
    runs_twice,
    bounces_run,
    leaves_group,
    repeats_too_late,
    two_at_once,
    ignores_drain,
    floods_cold
};

// Sends everything to one runner after the other, and sins in one way.
class Sinner final : public Policy {
  public:
    Sinner(Sin sin, std::size_t runners) : sin_(sin), runners_(runners) {}

    void note(Micros now, const Event& event) override {
        now_ = now;
        if (const auto* news = std::get_if<MembershipUpdate>(&event)) hear(*news);
        if (const auto* a = std::get_if<TaskArrived>(&event)) arrive(*a);
        if (const auto* e = std::get_if<AssignmentEnded>(&event)) end(*e);
        if (std::get_if<TimerFired>(&event)) due();
    }
    void settle(Micros, std::vector<Action>& out) override {
        if (!std::exchange(followed_, true)) out.push_back(WatchMembership{true});
        out.insert(out.end(), wanted_.begin(), wanted_.end());
        wanted_.clear();
    }

  private:
    void hear(const MembershipUpdate& news) {
        for (const EndpointEntry& e : news.entries) {
            const auto r = static_cast<std::size_t>(e.runner);
            if (bad_.size() < runners_) bad_.resize(runners_);
            bad_[r] = e.state != RunnerState::ready;
            if (e.started_at > 0) cold_ = r;
        }
    }
    RunnerId next() {
        if (sin_ == Sin::floods_cold && cold_ != SIZE_MAX) return RunnerId(static_cast<std::uint32_t>(cold_));
        do turn_ = (turn_ + 1) % runners_;
        while (sin_ != Sin::ignores_drain && turn_ < bad_.size() && bad_[turn_]);
        return RunnerId(static_cast<std::uint32_t>(turn_));
    }
    void send(TaskId task, RunnerId to) { wanted_.push_back(Assign{task, to, 0}); }
    void arrive(const TaskArrived& a) {
        const bool third = ++arrivals_ % 10 == 3;
        if (third && sin_ == Sin::loses) return;
        if (third && sin_ == Sin::answers_late)
            return later(a.expiry + 300'000 - now_, [this, id = a.task] { wanted_.push_back(Abandon{id}); });
        if (third && sin_ == Sin::sends_after) {
            wanted_.push_back(Bounce{a.task, 0});
            // The world forgets an answered task as a real one would, so the sin is to keep another leg out.
            return;
        }
        send(a.task, next());
        if (third && (sin_ == Sin::runs_twice || sin_ == Sin::leaves_group || sin_ == Sin::two_at_once))
            later(120'000, [this, id = a.task] { send(id, next()); });
        if (third && sin_ == Sin::repeats_too_late) {
            const RunnerId to = RunnerId(static_cast<std::uint32_t>(turn_));
            later(900'000, [this, id = a.task, to] { send(id, to); });
        }
        if (third && sin_ == Sin::bounces_run)
            later(20'000, [this, id = a.task] { wanted_.push_back(Bounce{id, 0}); });
    }
    void end(const AssignmentEnded& e) {
        if (e.task_answered) return;
        if (proves_never_ran(e.outcome))
            wanted_.push_back(Bounce{e.task, 0});
        else
            wanted_.push_back(Abandon{e.task});
    }
    void later(Micros after, std::function<void()> what) {
        plans_.emplace(now_ + after, std::move(what));
        wanted_.push_back(WakeAt{now_ + after, TimerId{}});
    }
    void due() {
        while (!plans_.empty() && plans_.begin()->first <= now_) {
            const auto what = std::move(plans_.begin()->second);
            plans_.erase(plans_.begin());
            what();
        }
    }

    const Sin sin_;
    const std::size_t runners_;
    Micros now_ = 0;
    std::size_t turn_ = 0, cold_ = SIZE_MAX;
    std::uint64_t arrivals_ = 0;
    bool followed_ = false;
    std::vector<bool> bad_;
    std::multimap<Micros, std::function<void()>> plans_;
    std::vector<Action> wanted_;
};

std::string day_with(const std::string& effect, const std::string& fault = "") {
    return "length_s = 6\nhalls = [\"a\", \"b\"]\n[[runners]]\nname = \"n\"\ncount = 2\nhall = \"a\"\nqueue "
           "= 50\n"
           "[[runners]]\nname = \"s\"\ncount = 2\nhall = \"b\"\nqueue = 50\n"
           "[[workloads]]\nname = \"w\"\n" +
           effect +
           "\nwork_ms = 200\nspread = 0\ndue_ms = 1000\nexpiry_ms = 2000\n"
           "[clients]\nrate = 30\ntries = 1\n" +
           fault;
}

Result play(Sin sin, const std::string& text) {
    const Day day = read_day(text, "story");
    World world(day, 1, [&](std::size_t, const SettingsMap&, std::uint64_t, const Truth&) {
        return std::make_unique<Sinner>(sin, day.runners.size());
    });
    return world.play();
}

const std::string kSide = "effect = \"side-effecting\"";
const std::string kZone = "effect = \"fingerprinted\"\ngroup = \"zone\"\nwindow_ms = 600";

}  // namespace

TEST_CASE("a dispatcher that keeps the rules is cleared of all of them") {
    for (const std::string& effect : {kSide, kZone, std::string("effect = \"idempotent\"")}) {
        const Result r = play(
            Sin::none, day_with(effect, "[[fault]]\nwhat = \"drain\"\non = \"n-1\"\nat_s = 1\nfor_s = 3\n"));
        CHECK(r.rules_held());
        CHECK(r.offered > 100);
    }
}

TEST_CASE("rule 1: a task that is never answered, and one that is answered too late") {
    const Result lost = play(Sin::loses, day_with(kSide));
    CHECK(lost.broken[1] > 5);
    REQUIRE_FALSE(lost.breaches.empty());
    CHECK(lost.breaches[0].what == "no final answer by the expiry");
    CHECK(lost.breaches[0].story.find("handed in") != std::string::npos);
    CHECK(play(Sin::answers_late, day_with(kSide)).broken[1] > 5);
}

TEST_CASE("rule 1: a second final answer, a false result and a send after the end are seen") {
    const Day day = read_day(day_with(kSide), "story");
    Judge judge(day);
    judge.handed_in(1'000, {1, 0, 0, 2'001'000});
    judge.answered(2'000, 1, Final::bounced);
    judge.answered(3'000, 1, Final::bounced);
    CHECK(judge.count(1) == 1);
    judge.handed_in(1'000, {2, 0, 0, 2'001'000});
    judge.answered(2'000, 2, Final::finished, 2);  // no runner made it
    CHECK(judge.count(1) == 2);
    judge.handed_in(1'000, {3, 0, 0, 2'001'000});
    judge.answered(2'000, 3, Final::abandoned);
    judge.reached(900'000, 3, 7, 0, 0, 900'000, 100);
    CHECK(judge.count(1) == 3);
    judge.handed_in(1'000, {4, 0, 0, 2'001'000});
    judge.cut_off(2'000, 4);
    CHECK(judge.count(1) == 4);
}

TEST_CASE("rule 2: side effects twice, a bounce of what runs, and a repeat outside its group or its time") {
    CHECK(play(Sin::runs_twice, day_with(kSide)).broken[2] > 5);
    const Result bounced = play(Sin::bounces_run, day_with(kSide));
    CHECK(bounced.broken[2] > 5);
    CHECK(bounced.breaches[0].what == "a bounce, though an assignment may have run");
    CHECK(bounced.breaches[0].story.find("answered: bounced") != std::string::npos);
    const Result outside = play(Sin::leaves_group, day_with(kZone));
    CHECK(outside.broken[2] > 5);
    CHECK(play(Sin::repeats_too_late,
               day_with("effect = \"fingerprinted\"\ngroup = \"zone\"\nwindow_ms = 600", ""))
              .broken[2] == 0);
    // The same where the work outlasts the time in which repeats are dropped.
    std::string slow = day_with(kZone);
    slow.replace(slow.find("work_ms = 200"), 13, "work_ms = 990");
    CHECK(play(Sin::repeats_too_late, slow).broken[2] > 5);
}

TEST_CASE("rule 2: two assignments of one task out at the same time") {
    const Result r = play(Sin::two_at_once, day_with("effect = \"idempotent\""));
    CHECK(r.broken[2] > 5);
    CHECK(r.breaches[0].what == "two assignments out at the same time");
}

TEST_CASE("rule 3: sending on to a runner that drains") {
    const Result r =
        play(Sin::ignores_drain, day_with(kSide, "[[fault]]\nwhat = \"drain\"\non = \"n-1\"\nat_s = 1\n"));
    CHECK(r.broken[3] > 5);
    CHECK(r.broken[1] + r.broken[2] + r.broken[4] == 0);
}

TEST_CASE("rule 4: a cold runner pushed over by those who know of its start") {
    std::string text = day_with(kSide, "[[fault]]\nwhat = \"crash\"\non = \"n-1\"\nat_s = 1\nfor_s = 1\n");
    text.replace(text.find("rate = 30"), 9, "rate = 60");
    const Result r = play(Sin::floods_cold, text);
    CHECK(r.broken[4] >= 1);
    CHECK(r.toppled >= 1);
}
