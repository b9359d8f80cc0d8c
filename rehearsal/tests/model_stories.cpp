// The model against cases reckoned by hand.
#include <doctest/doctest.h>

#include "model/paths.hpp"
#include "model/registry.hpp"
#include "model/runner.hpp"
#include "results/latencies.hpp"

using namespace gannethold;
using namespace gannethold::rehearsal;

namespace {

struct Bench {
    explicit Bench(const Build& build) : runner("r", build, group, Chance(1, 1)) {}
    GroupMemory group;
    Runner runner;
    std::vector<Word> words;

    void give(Micros now, std::uint64_t token, Micros work, double slots = 1, std::uint64_t fingerprint = 0) {
        Job job;
        job.token = job.request = token, job.work = work, job.slots = slots;
        job.fingerprint = fingerprint, job.repeats_within = 1'000'000;
        runner.take(now, job, words);
    }
    // When it said so, of that token; lets time pass as a lane would.
    Micros when(std::uint64_t token, Said said, Micros until) {
        for (;;) {
            for (const Word& w : words)
                if (w.token == token && w.said == said) return at_;
            const Micros next = runner.next();
            if (next > until) return -1;
            at_ = next;
            words.clear();
            runner.pass(next, words);
        }
    }
    bool heard(std::uint64_t token, Said said) const {
        for (const Word& w : words)
            if (w.token == token && w.said == said) return true;
        return false;
    }
    Micros at_ = 0;
};

Build plain() {
    Build b;
    b.cores = 2, b.slots = 2, b.queue = 2;
    return b;
}

}  // namespace

TEST_CASE("a job takes its work, and two on two cores take no longer") {
    Bench b(plain());
    b.give(0, 1, 10'000);
    b.give(0, 2, 20'000);
    CHECK(b.when(1, Said::done, 1'000'000) == doctest::Approx(10'000).epsilon(0.001));
    CHECK(b.when(2, Said::done, 1'000'000) == doctest::Approx(20'000).epsilon(0.001));
}

TEST_CASE("four slots on two cores run four jobs at half speed") {
    Build build = plain();
    build.slots = 4;
    Bench b(build);
    for (std::uint64_t t = 1; t <= 4; ++t) b.give(0, t, 10'000);
    CHECK(b.when(4, Said::done, 1'000'000) == doctest::Approx(20'000).epsilon(0.001));
}

TEST_CASE("the first in the queue waits until it fits, and the small one behind it waits too") {
    Bench b(plain());
    b.give(0, 1, 10'000);
    b.give(0, 2, 10'000, 2);
    b.give(0, 3, 1'000);
    CHECK_FALSE(b.heard(3, Said::started));
    CHECK(b.when(2, Said::started, 1'000'000) == doctest::Approx(10'000).epsilon(0.001));
    CHECK(b.when(3, Said::started, 1'000'000) >= 15'000);  // the large one has both cores: 5 ms
}

TEST_CASE("beyond the queue a job is turned away, and never began") {
    Bench b(plain());
    for (std::uint64_t t = 1; t <= 4; ++t) b.give(0, t, 10'000);
    b.give(0, 5, 10'000);
    CHECK(b.heard(5, Said::returned));
    CHECK_FALSE(b.heard(5, Said::started));
    CHECK(b.runner.load(0).held == 4);
    CHECK(b.runner.load(0).waiting == 2);
    CHECK(b.runner.load(0).free == 0);
}

TEST_CASE("a repeat within its group is dropped, after the window it runs") {
    Bench b(plain());
    b.give(0, 1, 1'000, 1, 77);
    b.give(0, 2, 1'000, 1, 77);
    CHECK(b.heard(2, Said::dropped));
    b.words.clear();
    b.give(1'100'000, 3, 1'000, 1, 77);
    CHECK(b.heard(3, Said::started));
}

TEST_CASE("a cold runner is slow at first, warms, and falls over when it is driven beyond what it can do") {
    Build build = plain();
    build.cold_from = 0.5, build.warm_after = 1'000'000, build.topples_beyond = 2,
    build.topple_window = 1'000'000;
    Bench b(build);
    std::vector<Word> ignored;
    b.runner.crash(0, ignored);
    b.runner.start(1);
    b.give(1, 1, 10'000);
    const Micros cold = b.when(1, Said::done, 1'000'000);
    CHECK(cold > 19'500);
    CHECK(cold < 20'100);
    // Two cores at half speed do one core-second in the window; twice that and a little more is too much.
    for (std::uint64_t t = 2; t < 5; ++t) b.give(30'000, t, 600'000);
    CHECK(b.runner.up());
    b.give(30'000, 5, 400'000);
    CHECK_FALSE(b.runner.up());
    CHECK(b.runner.toppled());
    CHECK(b.heard(2, Said::broken));
    CHECK(b.heard(5, Said::broken));
}

TEST_CASE("what hangs ends nothing, what stalls goes on where it stood") {
    Bench b(plain());
    b.give(0, 1, 10'000);
    Trouble t;
    t.stalls = true;
    b.runner.apply(4'000, t);
    CHECK(b.runner.next() == kNever);
    CHECK(b.runner.answers_probes());
    b.runner.apply(104'000, Trouble{});
    CHECK(b.when(1, Said::done, 1'000'000) == doctest::Approx(110'000).epsilon(0.001));
    t = {};
    t.hangs = true;
    b.runner.apply(200'000, t);
    b.give(200'000, 2, 10);
    CHECK(b.runner.next() == kNever);
    CHECK_FALSE(b.runner.answers_probes());
}

TEST_CASE("late reports tell of the state so long ago") {
    Bench b(plain());
    Trouble t;
    t.reports_late = 500'000;
    b.runner.apply(0, t);
    b.give(100'000, 1, 5'000'000);
    CHECK(b.runner.load(200'000).held == 0);
    CHECK(b.runner.load(700'000).held == 1);
}

TEST_CASE(
    "discovery tells a watch what changed after its version, and counting backwards brings the whole list") {
    Registry r(3);
    r.lag = 100;
    r.change(0, 1, RunnerState::draining, 0);
    CHECK_FALSE(r.pass(99));
    CHECK(r.pass(100));
    CHECK(r.version() == 2);
    CHECK(r.since(1).entries.size() == 1);
    CHECK_FALSE(r.since(1).full);
    CHECK(r.since(2).entries.empty());
    r.count_anew();
    CHECK(r.since(2).full);
    CHECK(r.since(2).entries.size() == 3);
}

TEST_CASE("a way is found by hall or by name, in both directions") {
    Paths p(100);
    PathTrouble t;
    t.from = "a", t.to = "r-1", t.cut = true, t.delay = 50;
    const auto number = p.add(t);
    CHECK(p.between("a/d-1", "b/r-1", 0).cut);
    CHECK(p.between("b/r-1", "a/d-1", 0).cut);
    CHECK(p.between("a/d-1", "b/r-1", 0).takes == 150);
    CHECK_FALSE(p.between("a/d-1", "b/r-10", 0).cut);
    p.remove(number);
    CHECK_FALSE(p.between("a/d-1", "b/r-1", 0).cut);
}

TEST_CASE("latencies are kept to within a hundredth") {
    Latencies l;
    for (Micros v = 1; v <= 100'000; ++v) l.add(v);
    CHECK(l.at(0.5) == doctest::Approx(50'000).epsilon(0.01));
    CHECK(l.at(0.99) == doctest::Approx(99'000).epsilon(0.01));
    CHECK(l.most() == 100'000);
    l.add(3'600'000'000);
    CHECK(l.at(1.0) == doctest::Approx(3'600'000'000).epsilon(0.01));
}
