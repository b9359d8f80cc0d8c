// The drain machine: each order that an operator may give, at the worst moment.
#include <doctest/doctest.h>

#include <random>

#include "drain/drain.hpp"

using namespace gannethold;
using namespace gannethold::drain;

namespace {
constexpr Micros kSecond = 1'000'000;
constexpr Micros kNow = 100 * kSecond;
}  // namespace

TEST_CASE("a drain tells the front first, closes connections then, and calls at the deadline") {
    Drain d({2 * kSecond, 2 * kSecond});
    CHECK(d.look(kNow, {3, 3}).healthy);
    REQUIRE(d.order(kNow, kNow + 10 * kSecond, 0, "ada").granted);
    Wanted w = d.look(kNow, {3, 3});
    CHECK_FALSE(w.healthy);
    CHECK_FALSE(w.last_answers);
    CHECK_FALSE(w.turns_away);
    CHECK(w.wake_at == kNow + 2 * kSecond);
    w = d.look(kNow + 3 * kSecond, {3, 3});
    CHECK(w.last_answers);
    CHECK(w.idle_to_keep == doctest::Approx(0.5));
    w = d.look(kNow + 5 * kSecond, {1, 1});
    CHECK(w.idle_to_keep == 0);
    CHECK(w.wake_at == kNow + 10 * kSecond);
    CHECK(d.phase() == Phase::draining);
    w = d.look(kNow + 10 * kSecond, {1, 1});
    CHECK(w.last_call);
    CHECK(w.turns_away);
    CHECK_FALSE(d.look(kNow + 10 * kSecond, {0, 0}).last_call);
    CHECK(d.phase() == Phase::drained);
    CHECK_FALSE(d.look(kNow + 60 * kSecond, {0, 0}).exits);
}

TEST_CASE("with nothing left it is drained before the deadline, and a late task makes it drain again") {
    Drain d({kSecond, kSecond});
    d.order(kNow, kNow + 60 * kSecond, 0, "ada");
    d.look(kNow + 3 * kSecond, {0, 0});
    CHECK(d.phase() == Phase::drained);
    d.look(kNow + 4 * kSecond, {1, 1});
    CHECK(d.phase() == Phase::draining);
}

TEST_CASE("the deadline moves earlier, later and into the past, for whoever has the ticket") {
    Drain d({});
    const auto first = d.order(kNow, kNow + 10 * kSecond, 0, "ada");
    CHECK(d.order(kNow + kSecond, kNow + 5 * kSecond, first.ticket, "ada").granted);
    CHECK(*d.deadline() == kNow + 5 * kSecond);
    CHECK(d.order(kNow + kSecond, kNow + 30 * kSecond, first.ticket, "bob").granted);
    CHECK(*d.deadline() == kNow + 30 * kSecond);
    CHECK(d.order(kNow + 2 * kSecond, kNow - 5 * kSecond, first.ticket, "ada").granted);
    CHECK(d.look(kNow + 2 * kSecond, {2, 2}).last_call);
    // Later again after the call: what comes now has its time, and is called by the new deadline.
    CHECK(d.order(kNow + 3 * kSecond, kNow + 9 * kSecond, first.ticket, "ada").granted);
    CHECK_FALSE(d.look(kNow + 4 * kSecond, {1, 1}).last_call);
    CHECK(d.look(kNow + 9 * kSecond, {1, 1}).last_call);
}

TEST_CASE("of two operators the second is told whose order stands, and may not undo it without the ticket") {
    Drain d({});
    const auto first = d.order(kNow, kNow + 10 * kSecond, 0, "ada");
    const auto second = d.order(kNow + 1, kNow + 20 * kSecond, 0, "bob");
    CHECK_FALSE(second.granted);
    CHECK(second.ticket == first.ticket);
    CHECK(second.why.find("ada") != std::string::npos);
    CHECK(*d.deadline() == kNow + 10 * kSecond);
    CHECK_FALSE(d.undo(kNow + 2, 0, "bob").granted);
    CHECK_FALSE(d.undo(kNow + 2, first.ticket + 1, "ada").granted);
    CHECK(d.undo(kNow + 2, first.ticket, "bob").granted);
    CHECK_FALSE(d.undo(kNow + 3, 0, "ada").granted);
    CHECK(d.order(kNow + 4, kNow + 5 * kSecond, 0, "bob").ticket != first.ticket);
    CHECK_FALSE(d.order(kNow, kNow + 48 * 3600 * kSecond, d.ticket(), "bob").granted);
}

TEST_CASE("undone, it serves as before at once") {
    Drain d({0, 0});
    const auto order = d.order(kNow, kNow + kSecond, 0, "ada");
    CHECK(d.look(kNow + kSecond / 2, {4, 4}).last_answers);
    d.undo(kNow + kSecond / 2, order.ticket, "ada");
    const Wanted w = d.look(kNow + 2 * kSecond, {4, 4});
    CHECK(w.healthy);
    CHECK_FALSE(w.last_answers);
    CHECK_FALSE(w.turns_away);
    CHECK_FALSE(w.last_call);
    CHECK(w.idle_to_keep == 1);
    CHECK(w.wake_at == 0);
}

TEST_CASE("a signal in mid-drain leaves by the nearer of the two deadlines, and no order is taken after it") {
    Drain d({kSecond, kSecond});
    d.order(kNow, kNow + 3 * kSecond, 0, "ada");
    d.look(kNow + 2 * kSecond, {1, 1});
    d.leave(kNow + 2 * kSecond, kNow + 6 * kSecond, kNow + 4 * kSecond);
    CHECK(*d.deadline() == kNow + 3 * kSecond);
    CHECK(d.look(kNow + 2 * kSecond, {1, 1}).last_answers);  // the front was told long ago
    CHECK_FALSE(d.order(kNow + 2 * kSecond, kNow + 9 * kSecond, 1, "ada").granted);
    CHECK_FALSE(d.undo(kNow + 2 * kSecond, 1, "ada").granted);
    CHECK(d.look(kNow + 3 * kSecond, {1, 1}).last_call);
    CHECK(d.look(kNow + 3 * kSecond + 1, {0, 0}).exits);
    CHECK(d.phase() == Phase::gone);
}

TEST_CASE("a thousand days of orders drawn at random keep what must hold after each step") {
    for (std::uint32_t seed = 1; seed <= 1'000; ++seed) {
        std::ranlux24_base chance(seed);
        const auto draw = [&](std::uint32_t n) { return static_cast<std::int64_t>(chance() % n); };
        Drain d({draw(3) * kSecond, draw(3) * kSecond});
        Micros now = kNow;
        std::uint64_t ticket = 0;
        std::size_t tasks = static_cast<std::size_t>(draw(5));
        bool gone = false, granted_since_call = true;
        std::optional<Micros> called_at;
        for (int step = 0; step < 60 && !gone; ++step) {
            now += draw(1'500'000);
            const auto what = draw(12);
            INFO("seed ", seed, " step ", step, " does ", what);
            const bool leaving = d.leaves();
            if (what < 2) {
                // Drawn one after the other: the order in which arguments are evaluated is the compiler's
                // choice.
                const std::uint64_t quoted = draw(3) == 0 ? 0 : ticket;
                const Micros deadline = now + (draw(9) - 2) * kSecond;
                const auto r = d.order(now, deadline, quoted, "ada");
                CHECK_FALSE((leaving && r.granted));
                if (r.granted) ticket = r.ticket, granted_since_call = true;
            } else if (what == 2) {
                const auto r = d.undo(now, draw(2) == 0 ? ticket : 999, "bob");
                CHECK_FALSE((leaving && r.granted));
                if (r.granted) CHECK(d.phase() == Phase::serving);
            } else if (what == 3 && draw(6) == 0) {
                const std::optional<Micros> deadline_before = d.deadline();
                d.leave(now, now + 3 * kSecond, now + kSecond);
                // Only the first signal sets a deadline of its own, and so has a call of its own. A further
                // one changes nothing.
                if (leaving)
                    CHECK(d.deadline() == deadline_before);
                else
                    granted_since_call = true;
            }
            if (d.phase() == Phase::serving && draw(2) == 0) ++tasks;
            const Wanted w = d.look(now, {tasks, tasks});
            // Serving, nothing is wanted of anybody.
            if (d.phase() == Phase::serving)
                CHECK((w.healthy && !w.turns_away && !w.last_answers && !w.last_call && !w.exits));
            else
                CHECK(d.deadline().has_value());
            // A call comes once for each deadline, never before it, and whoever is turned away is so after it
            // only.
            if (w.last_call) {
                CHECK(now >= *d.deadline());
                CHECK(granted_since_call);
                granted_since_call = false;
                tasks = 0;
            }
            if (w.turns_away) CHECK(now >= *d.deadline());
            if (d.phase() != Phase::serving && now >= *d.deadline())
                CHECK((w.turns_away && !granted_since_call));
            // Nobody exits with a task unanswered, nor on an operator's order.
            if (w.exits) CHECK((d.phase() == Phase::gone && (tasks == 0 || now >= *d.deadline())));
            if (d.phase() == Phase::drained) CHECK(tasks == 0);
            // Something will look again where something is still to change.
            if (d.phase() == Phase::draining && now < *d.deadline())
                CHECK((w.wake_at > now && w.wake_at <= *d.deadline()));
            if (tasks > 0 && draw(3) == 0) --tasks;
            gone = d.phase() == Phase::gone;
        }
    }
}
