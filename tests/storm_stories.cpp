// Retries of tasks with effects: whatever becomes of the first, no retry that can be recognised is a second
// run.
#include "helpers.hpp"

#include "retry/execution_log.hpp"

using namespace gannethold;
using namespace gannethold::storms;

namespace {

constexpr Micros kSecond = 1'000'000;

Town town(bool on = true, const std::string& workload = "side_effect") {
    dispatcher::Extras extras;
    extras.recollection.on = on;
    return Town(2, workload, "", "\"memory_mb\":64,\"sockets\":64", "on_request", "900000", extras);
}

std::string keyed(const std::string& id, const std::string& key = "k1", const std::string& timeout = "900m") {
    return Town::post(id, "X-Timeout: " + timeout + "\r\nIdempotency-Key: " + key + "\r\n");
}

int runs(Town& t) {
    int n = 0;
    for (const auto& door : t.doors)
        for (Wire& wire : door->guests())  // a kept connection may carry several
            for (auto at = wire.look().got.find("POST /render"); at != std::string::npos; ++n)
                at = wire.got.find("POST /render", at + 1);
    return n;
}

}  // namespace

TEST_CASE(
    "what ended falls out by its age, the oldest first where it is too much, and what is out never does") {
    RunBook book({true, false, 10 * kSecond, 3, 1 << 20, 4});
    book.began(0, "out", TaskId{1});
    for (unsigned i = 0; i < 5; ++i) {
        book.began(0, "e" + std::to_string(i), TaskId{10 + i});
        book.finished(kSecond * i, "e" + std::to_string(i), TaskId{10 + i}, i == 4 ? "too long" : "ok");
    }
    CHECK(book.size() == 4);
    CHECK(book.fallen_out() == 2);
    CHECK_FALSE(book.find(5 * kSecond, "e1"));
    CHECK(*book.find(5 * kSecond, "e2")->result == "ok");
    CHECK(book.find(5 * kSecond, "e4")->result == nullptr);
    CHECK_FALSE(book.find(12 * kSecond, "e2"));
    CHECK(book.find(3'600 * kSecond, "out")->state == RunState::out);
    CHECK(book.find(3'600 * kSecond, "out")->task == TaskId{1});
    CHECK(book.size() == 1);
    // Of two under one sign the later one counts, and the end of the earlier says nothing of it.
    book.began(0, "out", TaskId{2});
    book.may_have_run(0, "out", TaskId{1});
    CHECK(book.find(0, "out")->state == RunState::out);
    book.never_ran("out", TaskId{2});
    CHECK(book.size() == 0);
    CHECK(book.bytes() == 0);
}

TEST_CASE("a million tried stay within the bound on bytes") {
    RunBook book({true, false, 3'600 * kSecond, 100'000'000, 2 << 20, 8'192});
    std::size_t most = 0;
    for (unsigned i = 0; i < 1'000'000; ++i) {
        const std::string sign = "0/0/k" + std::to_string(i);
        book.began(i, sign, TaskId{i + 1});
        i % 2 ? book.may_have_run(i, sign, TaskId{i + 1}) : book.finished(i, sign, TaskId{i + 1}, "a result");
        most = std::max(most, book.bytes());
    }
    CHECK(most < (2 << 20) + 300);
    CHECK(book.size() > 5'000);
    CHECK(book.find(1'000'000, "0/0/k999999")->state == RunState::may_have_run);
}

TEST_CASE("a retry while the first is out joins it: one run, and both hear its end") {
    Town t = town();
    Wire first = t.client(), second = t.client(), third = t.client();
    first.say(keyed("a"));
    Wire& runner = t.at_runner("a");
    second.say(keyed("b")), third.say(keyed("c"));
    t.pass(50);
    CHECK(second.look().got.empty());
    CHECK(runs(t) == 1);
    runner.say(Town::done("a", "image"));
    for (Wire* w : {&first, &second, &third})
        CHECK(t.until([&] { return w->has("200") && w->has("image"); }));
    // Another key, and another workload's effect, are other tasks.
    first.say(keyed("d", "k2"));
    t.at_runner("d").say(Town::done("d"));
    CHECK(t.until([&] { return first.has("picture"); }));
}

TEST_CASE("a retry whose first has ended hears the same result, without a run") {
    Town t = town();
    Wire first = t.client(), second = t.client();
    first.say(keyed("a"));
    t.at_runner("a").say(Town::done("a", "image"));
    REQUIRE(t.until([&] { return first.has("image"); }));
    second.say(keyed("b"));
    CHECK(t.until([&] { return second.has("200") && second.has("image"); }));
    CHECK(runs(t) == 1);
}

TEST_CASE("a retry of what may have run is given up at once, and never sent") {
    Town t = town();
    Wire first = t.client(), second = t.client();
    first.say(keyed("a"));
    t.at_runner("a").reset();
    REQUIRE(t.until([&] { return first.has("502"); }));
    second.say(keyed("b"));
    CHECK(t.until([&] { return second.has("502"); }, 100));
    t.pass(100);
    CHECK(runs(t) == 1);
}

TEST_CASE(
    "the first client gone: a retry that waits takes its place; one that comes later hears that it may have "
    "run") {
    Town t = town();
    Wire first = t.client(), second = t.client();
    first.say(keyed("a"));
    Wire& runner = t.at_runner("a");
    second.say(keyed("b"));
    t.pass(30);
    first.hang_up();
    t.pass(30);
    CHECK_FALSE(runner.ended());
    runner.say(Town::done("a", "image"));
    CHECK(t.until([&] { return second.has("200") && second.has("image"); }));
    Wire lone = t.client(), late = t.client();
    lone.say(keyed("c", "k2"));
    t.at_runner("c");
    lone.hang_up();
    t.pass(30);
    late.say(keyed("d", "k2"));
    CHECK(t.until([&] { return late.has("502"); }, 100));
    CHECK(runs(t) == 2);
}

TEST_CASE("both gone while it was out: nothing is answered twice, and nothing is left behind") {
    Town t = town();
    Wire first = t.client(), second = t.client();
    first.say(keyed("a"));
    Wire& runner = t.at_runner("a");
    second.say(keyed("b"));
    t.pass(30);
    first.hang_up();
    t.pass(20);
    second.hang_up();
    CHECK(t.until([&] { return runner.ended(); }));
    Wire third = t.client();
    third.say(keyed("c"));
    CHECK(t.until([&] { return third.has("502"); }, 100));
}

TEST_CASE(
    "a first that certainly never ran leaves its retry a first try; a retry out of time is answered before "
    "its expiry") {
    Town t = town();
    Wire first = t.client(), second = t.client();
    for (auto& door : t.doors) door->shut();
    first.say(keyed("a", "k1", "300m"));
    REQUIRE(t.until([&] { return first.has("503"); }));
    second.say(keyed("b", "k1", "300m"));
    CHECK(t.until([&] { return second.has("503"); }));
    Town u = town();
    Wire one = u.client(), two = u.client();
    one.say(keyed("c"));
    u.at_runner("c");
    const Micros asked = net::Loop::now();
    two.say(keyed("d", "k1", "200m"));
    CHECK(u.until([&] { return two.has("502"); }, 400));
    CHECK(net::Loop::now() - asked < 200'000);
    CHECK(runs(u) == 1);
}

TEST_CASE("without an operator's word retries are tasks like any other, as before") {
    Town t = town(false);
    Wire first = t.client(), second = t.client();
    first.say(keyed("a"));
    t.at_runner("a");
    second.say(keyed("b"));
    t.at_runner("b");
    CHECK(runs(t) == 2);
}
