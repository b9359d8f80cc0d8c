// The control socket and its commands, against a dispatcher with scripted peers.
#include "helpers.hpp"

#include <sys/stat.h>
#include <sys/un.h>

#include "control/control_server.hpp"
#include "control/tables.hpp"

using namespace gannethold;

namespace {

std::string socket_path() { return "control-" + std::to_string(getpid()) + ".sock"; }

dispatcher::DispatcherOptions options(Micros notices = 0, Micros takes = 0) {
    dispatcher::DispatcherOptions e;
    e.control_socket.emplace();
    e.control_socket->path = socket_path();
    e.control_socket->line_timeout = 300'000;
    e.control_socket->max_remembered_changes = 10;
    e.drain = {notices, takes};
    return e;
}

struct ControlFixture : DispatcherFixture {
    explicit ControlFixture(int runners = 1, const std::string& workload = "pure", Micros notices = 0,
                            const std::string& expiry = "900000")
        : DispatcherFixture(runners, workload, "", "\"memory_mb\":64,\"sockets\":64", "on_request", expiry,
                            options(notices, 0)) {}

    TestConnection operator_() const {
        sockaddr_un at{};
        at.sun_family = AF_UNIX;
        const std::string path = socket_path();
        std::copy(path.begin(), path.end(), at.sun_path);
        const int one = ::socket(AF_UNIX, SOCK_STREAM, 0);
        REQUIRE(connect(one, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
        return TestConnection(one);
    }
    json::Value ask(TestConnection& wire, const std::string& what) {
        wire.got.clear();
        wire.send("{\"v\":1," + what + "}\n");
        REQUIRE(until([&] { return wire.has("\n"); }));
        return json::parse(wire.got.substr(0, wire.got.find('\n')));
    }
    json::Value ask(const std::string& what) {
        TestConnection wire = operator_();
        return ask(wire, what);
    }
    static bool ok(const json::Value& v) { return v.find("ok") && *v.find("ok")->get<bool>(); }
    std::string phase() { return *ask("\"do\":\"status\"").find("drain")->find_string("phase"); }
    int requests_at_runners() {
        int n = 0;
        for (const auto& listener : runner_listeners)
            for (TestConnection& wire : listener->connections())
                for (std::size_t at = wire.look().got.find("POST "); at != std::string::npos;
                     at = wire.got.find("POST ", at + 1))
                    ++n;
        return n;
    }
};

}  // namespace

TEST_CASE("status, runners and tasks are reported as JSON and as tables that fit the terminal") {
    ControlFixture t(2);
    TestConnection client = t.client();
    client.send(DispatcherFixture::post("one"));
    t.at_runner("one");
    TestConnection op = t.operator_();
    const json::Value status = t.ask(op, "\"do\":\"status\"");
    CHECK(ControlFixture::ok(status));
    CHECK(*status.find_number("ready") == 2);
    CHECK(*status.find_number("tasks") == 1);
    const json::Value runners = t.ask(op, "\"do\":\"runners\"");
    CHECK(runners.find("runners")->get<json::Array>()->size() == 2);
    const json::Value tasks = t.ask(op, "\"do\":\"tasks\"");
    CHECK(tasks.find("tasks")->get<json::Array>()->front().find_number("out") == 1);
    std::ostringstream wide;
    control::write_runners(wide, runners, 50);
    for (std::string line, rest = wide.str(); !rest.empty(); rest.erase(0, line.size() + 1)) {
        line = rest.substr(0, rest.find('\n'));
        CHECK(line.size() <= 50);
    }
    CHECK_FALSE(ControlFixture::ok(t.ask(op, "\"do\":\"dance\"")));
    op.got.clear();
    op.send("{\"v\":9,\"do\":\"status\"}\n");
    CHECK(t.until([&] { return op.has("version 9 is not spoken here"); }));
    struct stat file {};
    REQUIRE(stat(socket_path().c_str(), &file) == 0);
    CHECK((file.st_mode & 0777) == 0600);
}

TEST_CASE(
    "a side-effecting task still running at the drain's deadline is answered once, and not assigned again") {
    ControlFixture t(2, "side_effect", 0, "5000000");
    TestConnection client = t.client();
    client.send(DispatcherFixture::post("one", "X-Timeout: 5000m\r\n"));
    TestConnection& runner = t.at_runner("one");
    runner.send(DispatcherFixture::taken + DispatcherFixture::line("one", "\"state\":\"started\""));
    t.pass(20);
    REQUIRE(ControlFixture::ok(t.ask("\"do\":\"drain\",\"deadline_s\":0.2")));
    const Micros began = net::Loop::now();
    CHECK_FALSE(client.has("HTTP/1.1"));
    REQUIRE(t.until([&] { return client.has("HTTP/1.1"); }));
    CHECK(net::Loop::now() - began < 300'000);
    CHECK(client.got.starts_with("HTTP/1.1 502"));
    CHECK(t.until([&] { return runner.ended(); }));  // withdrawn
    runner.send(DispatcherFixture::line("one", "\"state\":\"done\",\"result\":\"late\"") + "0\r\n\r\n");
    t.pass(300);
    CHECK(client.got.find("late") == std::string::npos);
    CHECK(client.got.find("HTTP/1.1", 5) == std::string::npos);
    CHECK(t.requests_at_runners() == 1);
    CHECK(t.phase() == "drained");
    // A new request is rejected with Retry-After, before it is assigned.
    TestConnection next = t.client();
    next.send(DispatcherFixture::post("two"));
    REQUIRE(t.until([&] { return next.has("HTTP/1.1 503"); }));
    CHECK(next.has("Retry-After"));
    CHECK(t.requests_at_runners() == 1);
}

TEST_CASE("after a cancelled drain new tasks are accepted, and no task is answered twice") {
    ControlFixture t(1, "pure", 100'000);
    TestConnection kept = t.client(), other = t.client();
    kept.send(DispatcherFixture::post("one"));
    t.at_runner("one").send(DispatcherFixture::done("one"));
    REQUIRE(t.until([&] { return kept.has("picture"); }));
    const json::Value order = t.ask("\"do\":\"drain\",\"deadline_s\":30");
    REQUIRE(ControlFixture::ok(order));
    TestConnection health = t.client();
    health.send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(t.until([&] { return health.has("HTTP/1.1 503"); }));
    // A task that arrives during the notice is accepted and answered, and its connection closed afterwards.
    t.pass(150);
    CHECK(kept.ended());
    other.send(DispatcherFixture::post("two"));
    t.at_runner("two");
    const json::Value undone = t.ask("\"do\":\"undrain\",\"ticket\":" +
                                     std::to_string(static_cast<int>(*order.find_number("ticket"))));
    REQUIRE(ControlFixture::ok(undone));
    CHECK(t.phase() == "serving");
    t.at_runner("two").send(DispatcherFixture::done("two"));
    REQUIRE(t.until([&] { return other.has("picture"); }));
    CHECK(other.got.find("Connection: close") == std::string::npos);  // the connection is kept
    other.got.clear();
    other.send(DispatcherFixture::post("three"));
    t.at_runner("three").send(DispatcherFixture::done("three"));
    REQUIRE(t.until([&] { return other.has("picture"); }));
    CHECK(other.got.find("HTTP/1.1", 5) == std::string::npos);
    health.got.clear();
    TestConnection again = t.client();
    again.send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(t.until([&] { return again.has("HTTP/1.1 200"); }));
}

TEST_CASE("a task that is received but unread when the drain begins is accepted and answered") {
    ControlFixture t(1);
    TestConnection client = t.client();
    t.pass(10);
    client.send(DispatcherFixture::post("one"));
    TestConnection op = t.operator_();
    op.send("{\"v\":1,\"do\":\"drain\",\"deadline_s\":5}\n");
    t.at_runner("one").send(DispatcherFixture::done("one"));
    CHECK(t.until([&] { return client.has("picture"); }));
    CHECK(t.until([&] { return t.phase() == "drained"; }));
}

TEST_CASE(
    "a second drain is refused with the ticket of the first, and a drain outlives its client's connection") {
    ControlFixture t(1);
    {
        TestConnection first = t.operator_();
        REQUIRE(ControlFixture::ok(t.ask(first, "\"do\":\"drain\",\"deadline_s\":20,\"by\":\"ada\"")));
        first.reset();
    }
    t.pass(20);
    const json::Value second = t.ask("\"do\":\"drain\",\"deadline_s\":1,\"by\":\"bob\"");
    CHECK_FALSE(ControlFixture::ok(second));
    CHECK(second.find_string("why")->find("(ada)") != std::string::npos);
    CHECK(second.find_string("why")->find("ticket 1") != std::string::npos);
    CHECK(ControlFixture::ok(t.ask("\"do\":\"drain\",\"deadline_s\":1,\"ticket\":1,\"by\":\"bob\"")));
    // A reload does not end the drain.
    t.reload(t.text);
    CHECK(t.phase() != "serving");
}

TEST_CASE("a signal during a drain begins the shutdown, and commands on the drain are refused then") {
    ControlFixture t(1);
    TestConnection client = t.client();
    client.send(DispatcherFixture::post("one"));
    t.at_runner("one");
    REQUIRE(ControlFixture::ok(t.ask("\"do\":\"drain\",\"deadline_s\":20")));
    t.dispatcher->shut_down();
    CHECK(t.ask("\"do\":\"undrain\",\"ticket\":1").find_string("why")->find("leaving for good") !=
          std::string::npos);
    t.at_runner("one").send(DispatcherFixture::done("one"));
    CHECK(t.until([&] { return client.has("picture"); }));
    CHECK(t.until([&] { return t.loop.is_stopping(); }));
}

TEST_CASE(
    "an assignment whose connection is still being established when its runner is held goes to another "
    "runner") {
    ControlFixture t(2, "side_effect");
    REQUIRE(ControlFixture::ok(t.ask("\"do\":\"hold\",\"runner\":\"s-1\"")));
    t.runner_listeners[0]->stick();
    TestConnection client = t.client();
    client.send(DispatcherFixture::post("one"));
    REQUIRE(t.until([&] { return *t.ask("\"do\":\"status\"").find_number("out") == 1; }));
    REQUIRE(ControlFixture::ok(t.ask("\"do\":\"release\",\"runner\":\"s-1\"")));
    REQUIRE(ControlFixture::ok(t.ask("\"do\":\"hold\",\"runner\":\"s-0\"")));
    t.at_runner("one").send(DispatcherFixture::done("one"));
    CHECK(t.until([&] { return client.has("picture"); }));
    CHECK(t.requests_at_runners() == 1);
    CHECK(*t.ask("\"do\":\"failures\"").find("failures")->get<json::Array>()->front().find_string("cause") ==
          "runner drains, nothing written");
}

TEST_CASE("a held runner gets no assignments, whatever discovery lists, until it is released") {
    ControlFixture t(2);
    REQUIRE(ControlFixture::ok(t.ask("\"do\":\"hold\",\"runner\":\"s-0\",\"why\":\"rewiring\"")));
    CHECK_FALSE(ControlFixture::ok(t.ask("\"do\":\"hold\",\"runner\":\"s-0\"")));
    CHECK_FALSE(ControlFixture::ok(t.ask("\"do\":\"hold\",\"runner\":\"s-9\"")));
    for (int i = 0; i < 6; ++i) {
        TestConnection client = t.client();
        client.send(DispatcherFixture::post("h" + std::to_string(i)));
        t.at_runner("h" + std::to_string(i)).send(DispatcherFixture::done("h" + std::to_string(i)));
        REQUIRE(t.until([&] { return client.has("picture"); }));
    }
    CHECK(t.runner_listeners[0]->connections().empty());
    // Discovery lists the runner as ready meanwhile.
    TestConnection& watch = t.discovery.connections().back();
    watch.send(DispatcherFixture::taken + DispatcherFixture::chunk(t.list(9, "SERVING", true) + "\n"));
    t.pass(30);
    const json::Value runners = t.ask("\"do\":\"runners\"");
    CHECK(*runners.find("runners")->get<json::Array>()->front().find_string("state") == "held");
    REQUIRE(ControlFixture::ok(t.ask("\"do\":\"release\",\"runner\":\"s-0\"")));
    REQUIRE(ControlFixture::ok(t.ask("\"do\":\"hold\",\"runner\":\"s-1\"")));
    TestConnection client = t.client();
    client.send(DispatcherFixture::post("back"));
    t.at_runner("back").send(DispatcherFixture::done("back"));
    CHECK(t.until([&] { return client.has("picture"); }));
    CHECK_FALSE(t.runner_listeners[0]->connections().empty());
}

TEST_CASE("with all runners held tasks wait, and are bounced once they cannot finish in time") {
    ControlFixture t(1);
    REQUIRE(ControlFixture::ok(t.ask("\"do\":\"hold\",\"runner\":\"s-0\"")));
    TestConnection client = t.client();
    client.send(DispatcherFixture::post("one"));
    REQUIRE(t.until([&] { return client.has("HTTP/1.1 503"); }));
    CHECK(t.requests_at_runners() == 0);
}

TEST_CASE("a hold does not interrupt running tasks") {
    ControlFixture t(1, "side_effect");
    TestConnection client = t.client();
    client.send(DispatcherFixture::post("one"));
    t.at_runner("one").send(DispatcherFixture::taken +
                            DispatcherFixture::line("one", "\"state\":\"started\""));
    t.pass(10);
    REQUIRE(ControlFixture::ok(t.ask("\"do\":\"hold\",\"runner\":\"s-0\"")));
    t.pass(100);
    t.at_runner("one").send(DispatcherFixture::line("one", "\"state\":\"done\",\"result\":\"picture\"") +
                            "0\r\n\r\n");
    CHECK(t.until([&] { return client.has("picture"); }));
}

TEST_CASE("many control clients, an incomplete line and an endless line do not affect others") {
    ControlFixture t(1);
    std::deque<TestConnection> flood;
    for (int i = 0; i < 12; ++i) flood.push_back(t.operator_());
    t.pass(20);
    int refused = 0;
    for (TestConnection& w : flood) refused += w.has("too many are asking");
    CHECK(refused == 4);
    flood[0].send("{\"v\":1,");
    const std::string endless(256 * 1024, 'x');
    for (int i = 0; i < 40 && !flood[1].ended(); ++i) flood[1].send(endless), t.turn();
    CHECK(t.until([&] { return flood[1].ended(); }));
    CHECK(flood[1].has("a line is too long"));
    TestConnection client = t.client();
    client.send(DispatcherFixture::post("one"));
    t.at_runner("one").send(DispatcherFixture::done("one"));
    CHECK(t.until([&] { return client.has("picture"); }));
    CHECK(t.until([&] { return flood[0].ended() && flood[2].ended(); }));  // silent for too long
    CHECK(ControlFixture::ok(t.ask("\"do\":\"status\"")));
}

TEST_CASE("a follower that reconnects gets the changes it missed, or the number of lost ones") {
    ControlFixture t(1);
    TestConnection first = t.operator_();
    CHECK(ControlFixture::ok(t.ask(first, "\"do\":\"follow\"")));
    t.ask("\"do\":\"hold\",\"runner\":\"s-0\"");
    t.ask("\"do\":\"release\",\"runner\":\"s-0\"");
    CHECK(t.until([&] { return first.has("\"what\":\"release\""); }));
    CHECK(first.has("\"seq\":2"));
    first.reset();
    t.ask("\"do\":\"hold\",\"runner\":\"s-0\"");
    TestConnection back = t.operator_();
    const json::Value answer = t.ask(back, "\"do\":\"follow\",\"after\":2");
    CHECK(*answer.find_number("missed") == 0);
    CHECK(t.until([&] { return back.has("\"seq\":3"); }));
    for (int i = 0; i < 10; ++i) {
        t.ask("\"do\":\"release\",\"runner\":\"s-0\"");
        t.ask("\"do\":\"hold\",\"runner\":\"s-0\"");
    }
    TestConnection late = t.operator_();
    CHECK(*t.ask(late, "\"do\":\"follow\",\"after\":3").find_number("missed") == 10);
    TestConnection unknown_sequence = t.operator_();
    CHECK(*t.ask(unknown_sequence, "\"do\":\"follow\",\"after\":900").find("missed")->get<bool>());
}

TEST_CASE("a stale socket is replaced; the socket of a live process and a regular file are refused") {
    const std::string path = socket_path();
    sockaddr_un at{};
    at.sun_family = AF_UNIX;
    std::copy(path.begin(), path.end(), at.sun_path);
    const int dead = ::socket(AF_UNIX, SOCK_STREAM, 0);
    REQUIRE(bind(dead, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
    close(dead);
    {
        ControlFixture t(1);
        CHECK(ControlFixture::ok(t.ask("\"do\":\"status\"")));
        CHECK_THROWS_WITH_AS(ControlFixture(1), doctest::Contains("another process serves on"),
                             std::runtime_error);
        CHECK(ControlFixture::ok(t.ask("\"do\":\"status\"")));
    }
    std::ofstream(path) << "precious";
    CHECK_THROWS_WITH_AS(ControlFixture(1), doctest::Contains("is no socket"), std::runtime_error);
    std::remove(path.c_str());
}
