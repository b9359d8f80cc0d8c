// Retries of tasks with side effects: a retry that can be recognised never causes a second execution,
// whatever the outcome of the first attempt.
#include "helpers.hpp"

using namespace gannethold;

namespace {

DispatcherFixture make_fixture(bool is_enabled = true, const std::string& workload = "side_effect") {
    dispatcher::DispatcherOptions options;
    options.deduplication.is_enabled = is_enabled;
    return DispatcherFixture(2, workload, "", "\"memory_mb\":64,\"sockets\":64", "on_request", "900000",
                             options);
}

std::string keyed(const std::string& id, const std::string& key = "k1", const std::string& timeout = "900m") {
    return DispatcherFixture::post(id, "X-Timeout: " + timeout + "\r\nIdempotency-Key: " + key + "\r\n");
}

int count_executions(DispatcherFixture& fixture) {
    int executions = 0;
    for (const auto& listener : fixture.runner_listeners)
        for (TestConnection& wire : listener->connections())  // a kept connection may carry several
            for (auto at = wire.look().got.find("POST /render"); at != std::string::npos; ++executions)
                at = wire.got.find("POST /render", at + 1);
    return executions;
}

}  // namespace

TEST_CASE("a retry while the first is in flight joins it: one execution, and both get its answer") {
    DispatcherFixture fixture = make_fixture();
    TestConnection first = fixture.client();
    TestConnection second = fixture.client();
    TestConnection third = fixture.client();
    first.send(keyed("a"));
    TestConnection& runner = fixture.at_runner("a");
    second.send(keyed("b"));
    third.send(keyed("c"));
    fixture.pass(50);
    CHECK(second.look().got.empty());
    CHECK(count_executions(fixture) == 1);
    runner.send(DispatcherFixture::done("a", "image"));
    for (TestConnection* client : {&first, &second, &third})
        CHECK(fixture.until([&] { return client->has("200") && client->has("image"); }));
    // Requests with another key or another workload are different tasks.
    first.send(keyed("d", "k2"));
    fixture.at_runner("d").send(DispatcherFixture::done("d"));
    CHECK(fixture.until([&] { return first.has("picture"); }));
}

TEST_CASE("a retry of a finished task gets the recorded result, without an execution") {
    DispatcherFixture fixture = make_fixture();
    TestConnection first = fixture.client();
    TestConnection second = fixture.client();
    first.send(keyed("a"));
    fixture.at_runner("a").send(DispatcherFixture::done("a", "image"));
    REQUIRE(fixture.until([&] { return first.has("image"); }));
    second.send(keyed("b"));
    CHECK(fixture.until([&] { return second.has("200") && second.has("image"); }));
    CHECK(count_executions(fixture) == 1);
}

TEST_CASE("a retry of a task that may have run is rejected at once, and never forwarded") {
    DispatcherFixture fixture = make_fixture();
    TestConnection first = fixture.client();
    TestConnection second = fixture.client();
    first.send(keyed("a"));
    fixture.at_runner("a").reset();
    REQUIRE(fixture.until([&] { return first.has("502"); }));
    second.send(keyed("b"));
    CHECK(fixture.until([&] { return second.has("502"); }, 100));
    fixture.pass(100);
    CHECK(count_executions(fixture) == 1);
}

TEST_CASE(
    "the first client gone: a waiting retry takes its place; one that comes later is answered that it may "
    "have "
    "run") {
    DispatcherFixture fixture = make_fixture();
    TestConnection first = fixture.client();
    TestConnection second = fixture.client();
    first.send(keyed("a"));
    TestConnection& runner = fixture.at_runner("a");
    second.send(keyed("b"));
    fixture.pass(30);
    first.hang_up();
    fixture.pass(30);
    CHECK_FALSE(runner.ended());
    runner.send(DispatcherFixture::done("a", "image"));
    CHECK(fixture.until([&] { return second.has("200") && second.has("image"); }));
    TestConnection lone = fixture.client();
    TestConnection late = fixture.client();
    lone.send(keyed("c", "k2"));
    fixture.at_runner("c");
    lone.hang_up();
    fixture.pass(30);
    late.send(keyed("d", "k2"));
    CHECK(fixture.until([&] { return late.has("502"); }, 100));
    CHECK(count_executions(fixture) == 2);
}

TEST_CASE("when both clients disconnect in flight, nothing is answered twice and no state is kept") {
    DispatcherFixture fixture = make_fixture();
    TestConnection first = fixture.client();
    TestConnection second = fixture.client();
    first.send(keyed("a"));
    TestConnection& runner = fixture.at_runner("a");
    second.send(keyed("b"));
    fixture.pass(30);
    first.hang_up();
    fixture.pass(20);
    second.hang_up();
    CHECK(fixture.until([&] { return runner.ended(); }));
    TestConnection third = fixture.client();
    third.send(keyed("c"));
    CHECK(fixture.until([&] { return third.has("502"); }, 100));
}

TEST_CASE(
    "a first that certainly never ran leaves its retry a first attempt; a retry out of time is answered "
    "before "
    "its expiry") {
    DispatcherFixture fixture = make_fixture();
    TestConnection first = fixture.client();
    TestConnection second = fixture.client();
    for (auto& listener : fixture.runner_listeners) listener->shut();
    first.send(keyed("a", "k1", "300m"));
    REQUIRE(fixture.until([&] { return first.has("503"); }));
    second.send(keyed("b", "k1", "300m"));
    CHECK(fixture.until([&] { return second.has("503"); }));
    DispatcherFixture other = make_fixture();
    TestConnection one = other.client();
    TestConnection two = other.client();
    one.send(keyed("c"));
    other.at_runner("c");
    const Micros sent_at = net::Loop::now();
    two.send(keyed("d", "k1", "200m"));
    CHECK(other.until([&] { return two.has("502"); }, 400));
    CHECK(net::Loop::now() - sent_at < 200'000);
    CHECK(count_executions(other) == 1);
}

TEST_CASE("without the setting a retry is treated as a new task") {
    DispatcherFixture fixture = make_fixture(false);
    TestConnection first = fixture.client();
    TestConnection second = fixture.client();
    first.send(keyed("a"));
    fixture.at_runner("a");
    second.send(keyed("b"));
    fixture.at_runner("b");
    CHECK(count_executions(fixture) == 2);
}
