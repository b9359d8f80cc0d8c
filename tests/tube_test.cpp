// Both fronts on one dispatcher, over sockets: HTTP tasks served by beanstalk workers, jobs from tubes pushed
// to runners over HTTP, and clients that send nothing, too much or invalid input.
#include "helpers.hpp"

#include <algorithm>

using namespace gannethold;

namespace {

dispatcher::DispatcherOptions with_tubes(std::size_t max_pushed = 0, const std::string& shared_workload = "",
                                         std::size_t connections = 64) {
    dispatcher::DispatcherOptions options;
    options.tubes.listeners.push_back(
        {*net::Address::parse("127.0.0.1:" + std::to_string(TestListener(-1).port)), "m", "a"});
    options.tubes.max_connections = connections;
    options.tubes.broker.workers_start_cold = false;
    beanstalk::TubePlan plan;
    plan.name = "render", plan.workload = shared_workload, plan.max_pushed = max_pushed;
    options.tubes.broker.tubes.push_back(plan);
    options.drain.front_notice_delay = options.drain.closing_period = 50'000;
    return options;
}

constexpr const char* kLimits = "\"memory_mb\":64,\"sockets\":256";

TestConnection tube_client(const DispatcherFixture& fixture) {
    return TestConnection::to(fixture.dispatcher->tube_server()->port());
}

std::string put(const std::string& body) {
    return "put 1 0 60 " + std::to_string(body.size()) + "\r\n" + body + "\r\n";
}

// The job id in the last RESERVED reply.
std::string reserved_id(const TestConnection& connection) {
    const auto at = connection.got.rfind("RESERVED ");
    REQUIRE(at != std::string::npos);
    return connection.got.substr(at + 9, connection.got.find(' ', at + 9) - at - 9);
}

}  // namespace

TEST_CASE("a beanstalk worker serves a task from HTTP, and its delete becomes the client's 200") {
    DispatcherFixture fixture(0, "pure", "", kLimits, "on_request", "900000", with_tubes(0, "render"));
    TestConnection worker = tube_client(fixture), client = fixture.client();
    worker.send("watch render\r\nreserve\r\n");
    REQUIRE(fixture.until([&] { return worker.has("WATCHING 2"); }));
    client.send(DispatcherFixture::post("h1"));
    REQUIRE(fixture.until([&] { return worker.has("scene\r\n"); }));
    CHECK(client.look().got.empty());
    worker.send("delete " + reserved_id(worker) + "\r\n");
    REQUIRE(fixture.until([&] { return client.has("HTTP/1.1 200"); }));
    CHECK(worker.has("DELETED\r\n"));
}

TEST_CASE(
    "a worker disconnects with an HTTP task: an idempotent task is retried, a side-effecting one gets a "
    "502") {
    for (const bool is_idempotent : {true, false}) {
        DispatcherFixture fixture(0, is_idempotent ? "pure" : "side_effect", "", kLimits, "on_request",
                                  "900000", with_tubes(0, "render"));
        TestConnection lost = tube_client(fixture), client = fixture.client();
        lost.send("watch render\r\nreserve\r\n");
        client.send(DispatcherFixture::post("h1"));
        REQUIRE(fixture.until([&] { return lost.has("scene\r\n"); }));
        TestConnection other = tube_client(fixture);
        other.send("watch render\r\nreserve\r\n");
        fixture.pass(20);
        lost.reset();
        if (is_idempotent) {
            REQUIRE(fixture.until([&] { return other.has("scene\r\n"); }));
            other.send("delete " + reserved_id(other) + "\r\n");
            CHECK(fixture.until([&] { return client.has("HTTP/1.1 200"); }));
        } else {
            CHECK(fixture.until([&] { return client.has("HTTP/1.1 502"); }));
            fixture.pass(300);
            CHECK_FALSE(other.has("RESERVED"));
        }
    }
}

TEST_CASE(
    "a job from a tube that allows it is pushed to a runner over HTTP, and is removed once it is finished") {
    DispatcherFixture fixture(1, "pure", "", kLimits, "on_request", "900000", with_tubes(2));
    TestConnection producer = tube_client(fixture);
    producer.send("use render\r\n" + put("pixels"));
    TestConnection& runner = fixture.at_runner("job-n0-1");
    CHECK(runner.has("POST /render/1 HTTP/1.1"));
    CHECK(runner.has("pixels"));
    producer.send("stats-job 1\r\n");
    REQUIRE(fixture.until([&] { return producer.has("state: reserved"); }));
    producer.send("delete 1\r\n");
    REQUIRE(fixture.until([&] { return producer.has("NOT_FOUND"); }));  // only the runner can end it
    runner.send(DispatcherFixture::done("job-n0-1"));
    producer.got.clear();
    REQUIRE(fixture.until([&] {
        producer.send("stats-job 1\r\n");
        fixture.pass(10);
        return producer.has("NOT_FOUND");
    }));
    // A runner over HTTP gets no jobs of a tube that does not allow pushing.
    producer.send("use other\r\n" + put("mine"));
    fixture.pass(100);
    CHECK_FALSE(runner.has("mine"));
}

TEST_CASE(
    "a side-effecting job is buried after its runner's connection breaks, and only an operator can rerun "
    "it") {
    dispatcher::DispatcherOptions options = with_tubes(2);
    options.control_socket.emplace();
    options.control_socket->path = "tubes-" + std::to_string(getpid()) + ".sock";
    DispatcherFixture fixture(1, "pure", "", kLimits, "on_request", "900000", options);
    TestConnection producer = tube_client(fixture);
    producer.send("use render\r\n" + put("view"));
    fixture.at_runner("job-n0-1").reset();
    REQUIRE(fixture.until([&] {
        producer.got.clear();
        producer.send("stats-job 1\r\n");
        fixture.pass(10);
        return producer.has("state: buried");
    }));
    producer.send("kick 5\r\n");
    REQUIRE(fixture.until([&] { return producer.has("KICKED 0"); }));
    TestConnection operator_connection = TestConnection::to_path(options.control_socket->path);
    operator_connection.send(
        "{\"v\":1,\"do\":\"kick\",\"job\":1}\n{\"v\":1,\"do\":\"kick\",\"job\":1}\n{\"v\":1,\"do\":"
        "\"status\"}\n");
    REQUIRE(fixture.until([&] {
        return operator_connection.has("no buried job has that number") &&
               operator_connection.has("\"tubes\"");
    }));
    const auto has_second_run = [&] {
        for (TestConnection& w : fixture.runner_listeners[0]->connections())
            if (!w.ended() && w.has("X-Request-ID: job-n0-1\r\n")) return true;
        return false;
    };
    CHECK(fixture.until(has_second_run));
}

TEST_CASE("a drain refuses put and waits for reserved jobs, and cancelling it restores normal operation") {
    dispatcher::DispatcherOptions options = with_tubes();
    options.control_socket.emplace();
    options.control_socket->path = "tubes-" + std::to_string(getpid()) + ".sock";
    DispatcherFixture fixture(0, "pure", "", kLimits, "on_request", "900000", options);
    TestConnection producer = tube_client(fixture), worker = tube_client(fixture),
                   operator_connection = TestConnection::to_path(options.control_socket->path);
    producer.send(put("a") + put("b"));
    worker.send("reserve\r\n");
    REQUIRE(fixture.until([&] { return worker.has("RESERVED 1"); }));
    operator_connection.send("{\"v\":1,\"do\":\"drain\",\"deadline_s\":20}\n");
    REQUIRE(fixture.until([&] { return operator_connection.has("\"tasks_left\":1"); }));
    REQUIRE(fixture.until([&] {
        producer.send(put("c"));
        fixture.pass(20);
        return producer.has("DRAINING\r\n");
    }));
    worker.send("delete 1\r\n");
    REQUIRE(fixture.until([&] {
        operator_connection.send("{\"v\":1,\"do\":\"status\"}\n");
        fixture.pass(20);
        return operator_connection.has("\"phase\":\"drained\"");
    }));
    operator_connection.send("{\"v\":1,\"do\":\"undrain\"}\n");
    fixture.pass(50);
    worker.send("reserve\r\n");
    CHECK(fixture.until([&] { return worker.has("RESERVED 2"); }));
    producer.got.clear();
    producer.send(put("d"));
    CHECK(fixture.until([&] { return producer.has("INSERTED"); }));
}

TEST_CASE(
    "a shutdown disconnects waiting workers, ends reserved jobs and logs how many queued jobs are lost") {
    DispatcherFixture fixture(0, "pure", "", kLimits, "on_request", "900000", with_tubes());
    TestConnection producer = tube_client(fixture), holder = tube_client(fixture),
                   waiter = tube_client(fixture);
    producer.send(put("a") + put("b") + "pause-tube default 60\r\n");
    fixture.pass(20);
    holder.send("reserve\r\n");
    waiter.send("reserve\r\n");
    fixture.pass(20);
    fixture.dispatcher->shut_down();
    CHECK(fixture.until([&] { return waiter.ended() && producer.ended(); }));
    CHECK(fixture.until([&] { return fixture.loop.is_stopping(); }, 6000));
    CHECK(fixture.said.str().find("2 jobs that wait in tubes are lost") != std::string::npos);
}

TEST_CASE(
    "clients that send nothing, partial lines, invalid input or too much are closed within 3 s; others are "
    "not") {
    DispatcherFixture fixture(0, "pure", "", kLimits, "on_request", "900000", with_tubes(0, "", 32));
    TestConnection waiting = tube_client(fixture), good = tube_client(fixture);
    waiting.send("reserve\r\n");
    good.send("use jobs\r\n");
    REQUIRE(fixture.until([&] { return good.has("USING jobs\r\n"); }));
    // Silent connections beyond the limit: the oldest of them are closed, so that active clients can connect.
    std::vector<TestConnection> silent;
    for (int i = 0; i < 500; ++i) {
        silent.push_back(tube_client(fixture));
        fixture.turn();
    }
    TestConnection drip = tube_client(fixture), nonsense = tube_client(fixture),
                   endless = tube_client(fixture), half_body = tube_client(fixture);
    nonsense.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    half_body.send("list-tubes\r\nput 1 0 1 100\r\nhalf");
    REQUIRE(fixture.until([&] { return nonsense.ended(); }));
    CHECK(nonsense.got.starts_with("UNKNOWN_COMMAND\r\n"));
    const Micros started_at = net::Loop::now();
    while (net::Loop::now() < started_at + 2'800'000) {
        drip.send("r");
        endless.send(std::string(4'000, 'z'));
        fixture.pass(100);
    }
    CHECK(drip.ended());
    CHECK(endless.ended());
    CHECK(half_body.ended());
    CHECK(std::all_of(silent.begin(), silent.end(), [](TestConnection& w) { return w.ended(); }));
    // A client that waits in a reserve, or is idle after a valid command, stays connected.
    CHECK_FALSE(waiting.ended());
    CHECK_FALSE(good.ended());
    good.send("use default\r\n" + put("for the waiting worker"));
    CHECK(fixture.until([&] { return waiting.has("for the waiting worker"); }));
}

TEST_CASE(
    "hundreds of pipelined commands are answered in order, and a reserve delays the commands after it") {
    DispatcherFixture fixture(0, "pure", "", kLimits, "on_request", "900000", with_tubes());
    TestConnection client = tube_client(fixture);
    std::string commands, replies;
    for (int i = 1; i <= 400; ++i) commands += put("x"), replies += "INSERTED " + std::to_string(i) + "\r\n";
    for (int i = 1; i <= 400; ++i)
        commands += "reserve\r\ndelete " + std::to_string(i) + "\r\n",
            replies += "RESERVED " + std::to_string(i) + " 1\r\nx\r\nDELETED\r\n";
    client.send(commands + "reserve-with-timeout 0\r\nlist-tube-used\r\n");
    replies += "TIMED_OUT\r\nUSING default\r\n";
    CHECK(fixture.until([&] { return client.look().got.size() >= replies.size(); }, 10'000));
    CHECK(client.got == replies);
}
