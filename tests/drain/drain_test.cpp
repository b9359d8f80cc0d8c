// The drain state machine: each request that an operator may make, at the worst moment, and random sequences
// of requests.
#include <doctest/doctest.h>

#include <random>

#include "drain/drain.hpp"

using namespace gannethold;
using namespace gannethold::drain;

namespace {
constexpr Micros kSecond = 1'000'000;
constexpr Micros kNow = 100 * kSecond;
}  // namespace

TEST_CASE(
    "a drain first turns unhealthy, then closes connections, then answers waiting tasks at the deadline") {
    Drain drain({2 * kSecond, 2 * kSecond});
    CHECK(drain.evaluate(kNow, {3, 3}).is_healthy);
    REQUIRE(drain.request(kNow, kNow + 10 * kSecond, 0, "ada").accepted);
    DrainDirective directive = drain.evaluate(kNow, {3, 3});
    CHECK_FALSE(directive.is_healthy);
    CHECK_FALSE(directive.closes_after_response);
    CHECK_FALSE(directive.rejects_new_tasks);
    CHECK(directive.next_evaluation_at == kNow + 2 * kSecond);
    directive = drain.evaluate(kNow + 3 * kSecond, {3, 3});
    CHECK(directive.closes_after_response);
    CHECK(directive.idle_fraction_to_keep == doctest::Approx(0.5));
    directive = drain.evaluate(kNow + 5 * kSecond, {1, 1});
    CHECK(directive.idle_fraction_to_keep == 0);
    CHECK(directive.next_evaluation_at == kNow + 10 * kSecond);
    CHECK(drain.phase() == Phase::draining);
    directive = drain.evaluate(kNow + 10 * kSecond, {1, 1});
    CHECK(directive.answers_waiting_tasks);
    CHECK(directive.rejects_new_tasks);
    CHECK_FALSE(drain.evaluate(kNow + 10 * kSecond, {0, 0}).answers_waiting_tasks);
    CHECK(drain.phase() == Phase::drained);
    CHECK_FALSE(drain.evaluate(kNow + 60 * kSecond, {0, 0}).should_exit);
}

TEST_CASE("without remaining work it is drained before the deadline, and a late task makes it drain again") {
    Drain drain({kSecond, kSecond});
    drain.request(kNow, kNow + 60 * kSecond, 0, "ada");
    drain.evaluate(kNow + 3 * kSecond, {0, 0});
    CHECK(drain.phase() == Phase::drained);
    drain.evaluate(kNow + 4 * kSecond, {1, 1});
    CHECK(drain.phase() == Phase::draining);
}

TEST_CASE("with the ticket, the deadline can be moved earlier, later and into the past") {
    Drain drain({});
    const auto first = drain.request(kNow, kNow + 10 * kSecond, 0, "ada");
    CHECK(drain.request(kNow + kSecond, kNow + 5 * kSecond, first.ticket, "ada").accepted);
    CHECK(*drain.deadline() == kNow + 5 * kSecond);
    CHECK(drain.request(kNow + kSecond, kNow + 30 * kSecond, first.ticket, "bob").accepted);
    CHECK(*drain.deadline() == kNow + 30 * kSecond);
    CHECK(drain.request(kNow + 2 * kSecond, kNow - 5 * kSecond, first.ticket, "ada").accepted);
    CHECK(drain.evaluate(kNow + 2 * kSecond, {2, 2}).answers_waiting_tasks);
    // Moved later again after the deadline: new tasks are answered by the new deadline.
    CHECK(drain.request(kNow + 3 * kSecond, kNow + 9 * kSecond, first.ticket, "ada").accepted);
    CHECK_FALSE(drain.evaluate(kNow + 4 * kSecond, {1, 1}).answers_waiting_tasks);
    CHECK(drain.evaluate(kNow + 9 * kSecond, {1, 1}).answers_waiting_tasks);
}

TEST_CASE("a second operator is rejected with the name of the first, and cannot cancel without the ticket") {
    Drain drain({});
    const auto first = drain.request(kNow, kNow + 10 * kSecond, 0, "ada");
    const auto second = drain.request(kNow + 1, kNow + 20 * kSecond, 0, "bob");
    CHECK_FALSE(second.accepted);
    CHECK(second.ticket == first.ticket);
    CHECK(second.reason.find("ada") != std::string::npos);
    CHECK(*drain.deadline() == kNow + 10 * kSecond);
    CHECK_FALSE(drain.cancel(kNow + 2, 0, "bob").accepted);
    CHECK_FALSE(drain.cancel(kNow + 2, first.ticket + 1, "ada").accepted);
    CHECK(drain.cancel(kNow + 2, first.ticket, "bob").accepted);
    CHECK_FALSE(drain.cancel(kNow + 3, 0, "ada").accepted);
    CHECK(drain.request(kNow + 4, kNow + 5 * kSecond, 0, "bob").ticket != first.ticket);
    CHECK_FALSE(drain.request(kNow, kNow + 48 * 3600 * kSecond, drain.ticket(), "bob").accepted);
}

TEST_CASE("after a cancel it serves normally at once") {
    Drain drain({0, 0});
    const auto order = drain.request(kNow, kNow + kSecond, 0, "ada");
    CHECK(drain.evaluate(kNow + kSecond / 2, {4, 4}).closes_after_response);
    drain.cancel(kNow + kSecond / 2, order.ticket, "ada");
    const DrainDirective directive = drain.evaluate(kNow + 2 * kSecond, {4, 4});
    CHECK(directive.is_healthy);
    CHECK_FALSE(directive.closes_after_response);
    CHECK_FALSE(directive.rejects_new_tasks);
    CHECK_FALSE(directive.answers_waiting_tasks);
    CHECK(directive.idle_fraction_to_keep == 1);
    CHECK(directive.next_evaluation_at == 0);
}

TEST_CASE(
    "a signal during a drain shuts down by the nearer of the two deadlines, and later requests are "
    "rejected") {
    Drain drain({kSecond, kSecond});
    drain.request(kNow, kNow + 3 * kSecond, 0, "ada");
    drain.evaluate(kNow + 2 * kSecond, {1, 1});
    drain.shut_down(kNow + 2 * kSecond, kNow + 6 * kSecond, kNow + 4 * kSecond);
    CHECK(*drain.deadline() == kNow + 3 * kSecond);
    CHECK(drain.evaluate(kNow + 2 * kSecond, {1, 1}).closes_after_response);  // the front has noticed already
    CHECK_FALSE(drain.request(kNow + 2 * kSecond, kNow + 9 * kSecond, 1, "ada").accepted);
    CHECK_FALSE(drain.cancel(kNow + 2 * kSecond, 1, "ada").accepted);
    CHECK(drain.evaluate(kNow + 3 * kSecond, {1, 1}).answers_waiting_tasks);
    CHECK(drain.evaluate(kNow + 3 * kSecond + 1, {0, 0}).should_exit);
    CHECK(drain.phase() == Phase::stopped);
}

TEST_CASE("the invariants hold after each step of 1000 random sequences of requests") {
    for (std::uint32_t seed = 1; seed <= 1'000; ++seed) {
        std::ranlux24_base chance(seed);
        const auto draw = [&](std::uint32_t n) { return static_cast<std::int64_t>(chance() % n); };
        Drain drain({draw(3) * kSecond, draw(3) * kSecond});
        Micros now = kNow;
        std::uint64_t ticket = 0;
        std::size_t tasks = static_cast<std::size_t>(draw(5));
        bool gone = false, accepted_since_answering = true;
        std::optional<Micros> answered_at;
        for (int step = 0; step < 60 && !gone; ++step) {
            now += draw(1'500'000);
            const auto what = draw(12);
            INFO("seed ", seed, " step ", step, " does ", what);
            const bool leaving = drain.is_shutting_down();
            if (what < 2) {
                // Drawn before the call: the evaluation order of arguments is unspecified.
                const std::uint64_t quoted = draw(3) == 0 ? 0 : ticket;
                const Micros deadline = now + (draw(9) - 2) * kSecond;
                const auto r = drain.request(now, deadline, quoted, "ada");
                CHECK_FALSE((leaving && r.accepted));
                if (r.accepted) ticket = r.ticket, accepted_since_answering = true;
            } else if (what == 2) {
                const auto r = drain.cancel(now, draw(2) == 0 ? ticket : 999, "bob");
                CHECK_FALSE((leaving && r.accepted));
                if (r.accepted) CHECK(drain.phase() == Phase::serving);
            } else if (what == 3 && draw(6) == 0) {
                const std::optional<Micros> deadline_before = drain.deadline();
                drain.shut_down(now, now + 3 * kSecond, now + kSecond);
                // Only the first signal sets a new deadline, at which waiting tasks are answered again.
                if (leaving)
                    CHECK(drain.deadline() == deadline_before);
                else
                    accepted_since_answering = true;
            }
            if (drain.phase() == Phase::serving && draw(2) == 0) ++tasks;
            const DrainDirective directive = drain.evaluate(now, {tasks, tasks});
            // While it serves, the directive is the default one.
            if (drain.phase() == Phase::serving)
                CHECK((directive.is_healthy && !directive.rejects_new_tasks &&
                       !directive.closes_after_response && !directive.answers_waiting_tasks &&
                       !directive.should_exit));
            else
                CHECK(drain.deadline().has_value());
            // Waiting tasks are answered once per deadline, never before it; tasks are rejected only after
            // it.
            if (directive.answers_waiting_tasks) {
                CHECK(now >= *drain.deadline());
                CHECK(accepted_since_answering);
                accepted_since_answering = false;
                tasks = 0;
            }
            if (directive.rejects_new_tasks) CHECK(now >= *drain.deadline());
            if (drain.phase() != Phase::serving && now >= *drain.deadline())
                CHECK((directive.rejects_new_tasks && !accepted_since_answering));
            // It never exits with an unanswered task before the deadline, nor on an operator's request.
            if (directive.should_exit)
                CHECK((drain.phase() == Phase::stopped && (tasks == 0 || now >= *drain.deadline())));
            if (drain.phase() == Phase::drained) CHECK(tasks == 0);
            // While a change is pending, the next evaluation is scheduled.
            if (drain.phase() == Phase::draining && now < *drain.deadline())
                CHECK((directive.next_evaluation_at > now &&
                       directive.next_evaluation_at <= *drain.deadline()));
            if (tasks > 0 && draw(3) == 0) --tasks;
            gone = drain.phase() == Phase::stopped;
        }
    }
}
