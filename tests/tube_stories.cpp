// Both fronts on one dispatcher, over sockets: tasks by HTTP served by workers that ask, jobs from tubes
// pushed to runners, and clients who say nothing, too much or nonsense.
#include "helpers.hpp"

#include <algorithm>

using namespace gannethold;

namespace {

dispatcher::DispatcherOptions with_tubes(std::size_t pushed = 0, const std::string& shares = "",
                                         std::size_t connections = 64) {
    dispatcher::DispatcherOptions options;
    options.tubes.entrances.push_back(
        {*net::Address::parse("127.0.0.1:" + std::to_string(TestListener(-1).port)), "m", "a"});
    options.tubes.connections = connections;
    options.tubes.trade.cold = false;
    beanstalk::TubePlan plan;
    plan.name = "render", plan.workload = shares, plan.pushed = pushed;
    options.tubes.trade.tubes.push_back(plan);
    options.drain.front_notice_delay = options.drain.closing_period = 50'000;
    return options;
}

constexpr const char* kLimits = "\"memory_mb\":64,\"sockets\":256";

TestConnection tube_client(const DispatcherFixture& t) {
    return TestConnection::to(t.dispatcher->tube_server()->port());
}

std::string put(const std::string& body) {
    return "put 1 0 60 " + std::to_string(body.size()) + "\r\n" + body + "\r\n";
}

// The number in the last RESERVED that came.
std::string reserved(const TestConnection& wire) {
    const auto at = wire.got.rfind("RESERVED ");
    REQUIRE(at != std::string::npos);
    return wire.got.substr(at + 9, wire.got.find(' ', at + 9) - at - 9);
}

}  // namespace

TEST_CASE("a task handed in over HTTP is served by a worker that asks, and its delete is the client's 200") {
    DispatcherFixture t(0, "pure", "", kLimits, "on_request", "900000", with_tubes(0, "render"));
    TestConnection worker = tube_client(t), client = t.client();
    worker.send("watch render\r\nreserve\r\n");
    REQUIRE(t.until([&] { return worker.has("WATCHING 2"); }));
    client.send(DispatcherFixture::post("h1"));
    REQUIRE(t.until([&] { return worker.has("scene\r\n"); }));
    CHECK(client.look().got.empty());
    worker.send("delete " + reserved(worker) + "\r\n");
    REQUIRE(t.until([&] { return client.has("HTTP/1.1 200"); }));
    CHECK(worker.has("DELETED\r\n"));
}

TEST_CASE(
    "a worker lost with a task of HTTP: harmless goes on to the next, side-effecting is given up and never "
    "run again") {
    for (const bool harmless : {true, false}) {
        DispatcherFixture t(0, harmless ? "pure" : "side_effect", "", kLimits, "on_request", "900000",
                            with_tubes(0, "render"));
        TestConnection lost = tube_client(t), client = t.client();
        lost.send("watch render\r\nreserve\r\n");
        client.send(DispatcherFixture::post("h1"));
        REQUIRE(t.until([&] { return lost.has("scene\r\n"); }));
        TestConnection other = tube_client(t);
        other.send("watch render\r\nreserve\r\n");
        t.pass(20);
        lost.reset();
        if (harmless) {
            REQUIRE(t.until([&] { return other.has("scene\r\n"); }));
            other.send("delete " + reserved(other) + "\r\n");
            CHECK(t.until([&] { return client.has("HTTP/1.1 200"); }));
        } else {
            CHECK(t.until([&] { return client.has("HTTP/1.1 502"); }));
            t.pass(300);
            CHECK_FALSE(other.has("RESERVED"));
        }
    }
}

TEST_CASE(
    "a job from a tube is pushed to a runner over HTTP where the operator allows it, and is gone once it is "
    "done") {
    DispatcherFixture t(1, "pure", "", kLimits, "on_request", "900000", with_tubes(2));
    TestConnection producer = tube_client(t);
    producer.send("use render\r\n" + put("pixels"));
    TestConnection& runner = t.at_runner("job-n0-1");
    CHECK(runner.has("POST /render/1 HTTP/1.1"));
    CHECK(runner.has("pixels"));
    producer.send("stats-job 1\r\n");
    REQUIRE(t.until([&] { return producer.has("state: reserved"); }));
    producer.send("delete 1\r\n");
    REQUIRE(t.until([&] { return producer.has("NOT_FOUND"); }));  // its end is the runner's to say
    runner.send(DispatcherFixture::done("job-n0-1"));
    producer.got.clear();
    REQUIRE(t.until([&] {
        producer.send("stats-job 1\r\n");
        t.pass(10);
        return producer.has("NOT_FOUND");
    }));
    // A runner over HTTP gets nothing of a tube that is not to be pushed.
    producer.send("use other\r\n" + put("mine"));
    t.pass(100);
    CHECK_FALSE(runner.has("mine"));
}

TEST_CASE("a side-effecting job whose runner breaks lies buried, and only an operator lets it run again") {
    dispatcher::DispatcherOptions options = with_tubes(2);
    options.control_socket.emplace();
    options.control_socket->path = "tubes-" + std::to_string(getpid()) + ".sock";
    DispatcherFixture t(1, "pure", "", kLimits, "on_request", "900000", options);
    TestConnection producer = tube_client(t);
    producer.send("use render\r\n" + put("view"));
    t.at_runner("job-n0-1").reset();
    REQUIRE(t.until([&] {
        producer.got.clear();
        producer.send("stats-job 1\r\n");
        t.pass(10);
        return producer.has("state: buried");
    }));
    producer.send("kick 5\r\n");
    REQUIRE(t.until([&] { return producer.has("KICKED 0"); }));
    TestConnection desk = TestConnection::to_path(options.control_socket->path);
    desk.send(
        "{\"v\":1,\"do\":\"kick\",\"job\":1}\n{\"v\":1,\"do\":\"kick\",\"job\":1}\n{\"v\":1,\"do\":"
        "\"status\"}\n");
    REQUIRE(t.until([&] { return desk.has("no buried job has that number") && desk.has("\"tubes\""); }));
    const auto second_run = [&] {
        for (TestConnection& w : t.runner_listeners[0]->connections())
            if (!w.ended() && w.has("X-Request-ID: job-n0-1\r\n")) return true;
        return false;
    };
    CHECK(t.until(second_run));
}

TEST_CASE("a drain: nothing is put, what is in hands is waited for, and undone all is as before") {
    dispatcher::DispatcherOptions options = with_tubes();
    options.control_socket.emplace();
    options.control_socket->path = "tubes-" + std::to_string(getpid()) + ".sock";
    DispatcherFixture t(0, "pure", "", kLimits, "on_request", "900000", options);
    TestConnection producer = tube_client(t), worker = tube_client(t),
                   desk = TestConnection::to_path(options.control_socket->path);
    producer.send(put("a") + put("b"));
    worker.send("reserve\r\n");
    REQUIRE(t.until([&] { return worker.has("RESERVED 1"); }));
    desk.send("{\"v\":1,\"do\":\"drain\",\"deadline_s\":20}\n");
    REQUIRE(t.until([&] { return desk.has("\"tasks_left\":1"); }));
    REQUIRE(t.until([&] {
        producer.send(put("c"));
        t.pass(20);
        return producer.has("DRAINING\r\n");
    }));
    worker.send("delete 1\r\n");
    REQUIRE(t.until([&] {
        desk.send("{\"v\":1,\"do\":\"status\"}\n");
        t.pass(20);
        return desk.has("\"phase\":\"drained\"");
    }));
    desk.send("{\"v\":1,\"do\":\"undrain\"}\n");
    t.pass(50);
    worker.send("reserve\r\n");
    CHECK(t.until([&] { return worker.has("RESERVED 2"); }));
    producer.got.clear();
    producer.send(put("d"));
    CHECK(t.until([&] { return producer.has("INSERTED"); }));
}

TEST_CASE(
    "at a restart workers in a reserve are let go, what is in hands is honestly ended, and it says what is "
    "lost") {
    DispatcherFixture t(0, "pure", "", kLimits, "on_request", "900000", with_tubes());
    TestConnection producer = tube_client(t), holder = tube_client(t), waiter = tube_client(t);
    producer.send(put("a") + put("b") + "pause-tube default 60\r\n");
    t.pass(20);
    holder.send("reserve\r\n");
    waiter.send("reserve\r\n");
    t.pass(20);
    t.dispatcher->shut_down();
    CHECK(t.until([&] { return waiter.ended() && producer.ended(); }));
    CHECK(t.until([&] { return t.loop.is_stopping(); }, 6000));
    CHECK(t.said.str().find("2 jobs that wait in tubes are lost") != std::string::npos);
}

TEST_CASE(
    "clients who say nothing, half a line, nonsense or too much are ended within 3 s, and nobody else is "
    "harmed") {
    DispatcherFixture t(0, "pure", "", kLimits, "on_request", "900000", with_tubes(0, "", 32));
    TestConnection waiting = tube_client(t), good = tube_client(t);
    waiting.send("reserve\r\n");
    good.send("use jobs\r\n");
    REQUIRE(t.until([&] { return good.has("USING jobs\r\n"); }));
    // Silent ones beyond all room: the oldest of them go, and whoever has something to say is let in.
    std::vector<TestConnection> silent;
    for (int i = 0; i < 500; ++i) {
        silent.push_back(tube_client(t));
        t.turn();
    }
    TestConnection drip = tube_client(t), nonsense = tube_client(t), endless = tube_client(t),
                   half_body = tube_client(t);
    nonsense.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    half_body.send("list-tubes\r\nput 1 0 1 100\r\nhalf");
    REQUIRE(t.until([&] { return nonsense.ended(); }));
    CHECK(nonsense.got.starts_with("UNKNOWN_COMMAND\r\n"));
    const Micros begun = net::Loop::now();
    while (net::Loop::now() < begun + 2'800'000) {
        drip.send("r");
        endless.send(std::string(4'000, 'z'));
        t.pass(100);
    }
    CHECK(drip.ended());
    CHECK(endless.ended());
    CHECK(half_body.ended());
    CHECK(std::all_of(silent.begin(), silent.end(), [](TestConnection& w) { return w.ended(); }));
    // Silence that is meant is no fault.
    CHECK_FALSE(waiting.ended());
    CHECK_FALSE(good.ended());
    good.send("use default\r\n" + put("for who waits"));
    CHECK(t.until([&] { return waiting.has("for who waits"); }));
}

TEST_CASE(
    "hundreds of commands in one breath are answered in their order, a reserve among them holds up what "
    "follows") {
    DispatcherFixture t(0, "pure", "", kLimits, "on_request", "900000", with_tubes());
    TestConnection one = tube_client(t);
    std::string all, wanted;
    for (int i = 1; i <= 400; ++i) all += put("x"), wanted += "INSERTED " + std::to_string(i) + "\r\n";
    for (int i = 1; i <= 400; ++i)
        all += "reserve\r\ndelete " + std::to_string(i) + "\r\n",
            wanted += "RESERVED " + std::to_string(i) + " 1\r\nx\r\nDELETED\r\n";
    one.send(all + "reserve-with-timeout 0\r\nlist-tube-used\r\n");
    wanted += "TIMED_OUT\r\nUSING default\r\n";
    CHECK(t.until([&] { return one.look().got.size() >= wanted.size(); }, 10'000));
    CHECK(one.got == wanted);
}
